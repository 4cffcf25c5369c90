"""Turns the weights that a policy wants into shares that overload no region.

The guard decides how much of what a policy wants each region may have now. It takes the wanted
weights by region, the shares in force, a `Snapshot` (slots, requests a second, seconds,
milliseconds) and `GuardLimits`. It owns no state, reads no clock and does no I/O.

A draining region, or one without slots, gets nothing while another can take its callers. A region
whose measures are missing or old keeps at most its current share. A region over the ceiling shrinks
in proportion; any other gains at most this planner's part of its free slots and one warm-up step,
and at most what its link carries. Callers that fit nowhere stay where they are.

Several planners may choose the same lightly loaded region at once, so each takes only its part of
the free slots, and gains are counted from the smallest share that the delayed measures may still
reflect. Otherwise the same free slots are given out again in each round: with 3 planners and
measures 4 rounds late the planned load passed the ceiling (`tests.test_guard`). Smaller steps alone
only delay that overload. The guard refuses no requests: the regions do that, as they know their
slots exactly.

The notes of `LimitedShares` name the limits that took effect; `sprucewinch explain` and `compare`
print them as `limits`, and `/state` of the routed path lists them by service. Nothing is logged,
since a limit may take effect in every round. The tests are `tests.test_guard` (`GrantedShares`,
`NoDecisionOverloads`) and `tests.test_gateway_policies`.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple, Optional

from .measures import RegionMeasures, Snapshot
from .placement import Shares, make_shares

Weights = dict[str, float]

_SHARE_TOLERANCE = 1e-9
"""Shares that differ by no more than this count as equal: it is above the rounding errors of sums
of a few doubles and far below the share of one caller."""

_DEFAULT_LATENCY_MS = 50.0
"""Time for which a request is assumed to hold a slot while no latency is measured."""

_MIN_SLOT_S = 1e-4
"""Lower bound of the time for which a request is assumed to hold a slot. Without it, a region whose
measured latency is 0 could be given any number of requests."""


class GuardLimits(NamedTuple):
    """Limits of the guard, from the configuration.

    Args:
        ceiling: Largest part of a region's slots that steering plans to use; the rest is a margin
            for load that the measures do not show yet.
        stale_s: Age of measures beyond which a region may gain no callers, in seconds.
        warm_step: Largest gain of a region within one window, as the part of its slots that the
            gained callers fill.
        planners: Number of client regions that plan independently; each may use its part of the
            free slots.
    """

    ceiling: float = 0.8
    stale_s: float = 5.0
    warm_step: float = 0.25
    planners: int = 1


class LimitedShares(NamedTuple):
    """The shares that the guard allows, and the limits that took effect.

    Args:
        shares: Shares within the limits, before the shift cap.
        notes: `limit:region` for each limit that took effect; the limit is `drained`, `stale`,
            `link`, `ceiling`, `headroom` or `warm-up`.
    """

    shares: Shares
    notes: tuple[str, ...]


def limit_shares(
    wanted: Mapping[str, float], current: Shares, snapshot: Snapshot, limits: GuardLimits
) -> LimitedShares:
    """Turn wanted weights into shares within the limits.

    Args:
        wanted: Weights by region from a policy; finite, 0 or more, not all 0.
        current: Shares in force.
        snapshot: Measures of all regions, as seen from one client region.
        limits: Limits of the guard.

    Returns:
        The limited shares and the limits that took effect.
    """
    current_shares = current.as_dict()
    weights, drained = _without_unusable(_normalized(wanted, snapshot), current_shares, snapshot)
    bounds = {
        region: _share_bound(region, current_shares.get(region, 0.0), snapshot, limits)
        for region in snapshot.order
    }
    limited = [
        f"{b.limit}:{r}" for r, b in bounds.items() if weights[r] > b.share + _SHARE_TOLERANCE
    ]
    fitted = _fit_to_bounds(
        weights, current_shares, {region: bound.share for region, bound in bounds.items()}
    )
    return LimitedShares(make_shares(snapshot.order, fitted), (*drained, *limited))


def weights_problem(wanted: object, order: tuple[str, ...]) -> Optional[str]:
    """Return what is wrong with the weights that a policy returned.

    Args:
        wanted: What the policy returned.
        order: Regions of the configuration.

    Returns:
        A message; None when the weights are valid.
    """
    if not isinstance(wanted, dict):
        return "the result is not a dictionary of region to weight"
    for region, weight in wanted.items():
        if region not in order:
            return f"{region!r} is not a region of the configuration"
        problem = _weight_problem(weight)
        if problem is not None:
            return f"the weight of {region!r} is {problem}"
    if sum(wanted.values()) <= _SHARE_TOLERANCE:
        return "all weights are 0"
    if not math.isfinite(sum(wanted.values())):
        return "the sum of the weights exceeds the largest floating-point number"
    return None


def _weight_problem(weight: object) -> Optional[str]:
    if isinstance(weight, bool) or not isinstance(weight, int | float):
        return "not a number"
    if not math.isfinite(weight) or weight < 0:
        return "not a finite number of 0 or more"
    return None


def _normalized(wanted: Mapping[str, float], snapshot: Snapshot) -> Weights:
    total = sum(wanted.values())
    return {region: wanted.get(region, 0.0) / total for region in snapshot.order}


def _usable(measures: RegionMeasures) -> bool:
    return measures.capacity > 0 and not measures.drained


def _without_unusable(
    weights: Weights, current_shares: Weights, snapshot: Snapshot
) -> tuple[Weights, tuple[str, ...]]:
    """Return the weights without unusable regions, and a note for each region that loses callers.

    When no usable region is wanted, the usable ones get weights in proportion to their slots; when
    none is usable, the shares in force stay.
    """
    usable = {region: _usable(measures) for region, measures in snapshot.regions.items()}
    notes = tuple(
        f"drained:{region}"
        for region, weight in weights.items()
        if not usable[region] and (weight > 0 or current_shares.get(region, 0.0) > 0)
    )
    kept = {region: weight if usable[region] else 0.0 for region, weight in weights.items()}
    if sum(kept.values()) > _SHARE_TOLERANCE:
        return kept, notes
    fallback = {r: m.capacity if usable[r] else 0.0 for r, m in snapshot.regions.items()}
    total = sum(fallback.values())
    if total <= _SHARE_TOLERANCE:
        return dict(current_shares), notes
    return {region: capacity / total for region, capacity in fallback.items()}, notes


class _Bound(NamedTuple):
    """The largest share that a region may have now, and the limit that sets it."""

    share: float
    limit: str


def _share_bound(
    region: str, current_share: float, snapshot: Snapshot, limits: GuardLimits
) -> _Bound:
    measures = snapshot.regions[region]
    if not _usable(measures):
        return _Bound(0.0, "drained")
    if measures.age_s is None or measures.age_s > limits.stale_s:
        return _Bound(current_share, "stale")
    if snapshot.demand_per_s <= 0:
        return _Bound(1.0, "room")
    link = _Bound(snapshot.link_per_s.get(region, math.inf) / snapshot.demand_per_s, "link")
    return min(_slot_bound(region, current_share, snapshot, limits), link)


def _slot_bound(
    region: str, current_share: float, snapshot: Snapshot, limits: GuardLimits
) -> _Bound:
    """Return the bound that follows from a region's slots.

    A region above the ceiling shrinks; any other gains part of its free slots.
    """
    measures = snapshot.regions[region]
    if _over_ceiling(measures, limits):
        ratio = limits.ceiling * measures.capacity / measures.in_use
        return _Bound(
            min(current_share, snapshot.share_high.get(region, current_share) * ratio), "ceiling"
        )
    warm_up_per_s = limits.warm_step * measures.capacity / _slot_time_s(measures)
    headroom_per_s = _headroom_per_s(measures, limits)
    gain = min(headroom_per_s, warm_up_per_s) / snapshot.demand_per_s
    share = max(current_share, snapshot.share_low.get(region, current_share) + gain)
    return _Bound(min(share, 1.0), "headroom" if headroom_per_s < warm_up_per_s else "warm-up")


def _over_ceiling(measures: RegionMeasures, limits: GuardLimits) -> bool:
    return measures.in_use > limits.ceiling * measures.capacity


def _headroom_per_s(measures: RegionMeasures, limits: GuardLimits) -> float:
    """Return the requests a second that this client region's planner may add to a region."""
    free = max(0.0, limits.ceiling * measures.capacity - measures.in_use)
    return free / _slot_time_s(measures) / limits.planners


def _slot_time_s(measures: RegionMeasures) -> float:
    """Return the time for which one request holds a slot, in seconds.

    It is the slots in use divided by the arrivals, or the latency while one of them is 0.
    """
    if measures.in_use > 0 and measures.arrivals_per_s > 0:
        slot_s = measures.in_use / measures.arrivals_per_s
    else:
        slot_s = (measures.latency_ms or _DEFAULT_LATENCY_MS) / 1000.0
    return max(slot_s, _MIN_SLOT_S)


def _fit_to_bounds(weights: Weights, current_shares: Weights, bounds: Weights) -> Weights:
    """Cut each weight to its bound and give the excess to regions below theirs.

    Regions are filled up to their current share before any region gains. What fits nowhere stays
    where it is now: the regions' own admission refuses what they cannot run, and moving it
    elsewhere would only move the overload.
    """
    fitted = {region: min(weight, bounds[region]) for region, weight in weights.items()}
    excess = 1.0 - sum(fitted.values())
    for fill_level in (current_shares, bounds):
        if excess <= _SHARE_TOLERANCE:
            break
        spare = {r: max(0.0, min(fill_level.get(r, 0.0), bounds[r]) - fitted[r]) for r in fitted}
        total = sum(spare.values())
        if total <= 0:
            continue
        ratio = min(1.0, excess / total)
        for region in fitted:
            fitted[region] += spare[region] * ratio
        excess -= total * ratio
    if excess > _SHARE_TOLERANCE:
        _keep_excess_in_place(fitted, current_shares, bounds, excess)
    return fitted


def _keep_excess_in_place(
    fitted: Weights, current_shares: Weights, bounds: Weights, excess: float
) -> None:
    """Add what fits nowhere to `fitted`, in proportion to the shares in force."""
    basis = {r: current_shares.get(r, 0.0) if bounds[r] > 0 else 0.0 for r in fitted}
    if sum(basis.values()) <= _SHARE_TOLERANCE:
        basis = {r: bounds[r] for r in fitted}
    if sum(basis.values()) <= _SHARE_TOLERANCE:
        basis = dict(current_shares)
    total = sum(basis.values()) or 1.0
    for region in fitted:
        fitted[region] += excess * basis.get(region, 0.0) / total
