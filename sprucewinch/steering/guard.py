"""The guard: turns the weights that a policy wants into shares that overload no region.

Question: how much of what a policy wants may each region have now?

Inputs: wanted weights by region, the shares in force, a `Snapshot` (slots, requests a second,
seconds, milliseconds) and `GuardLimits`. It owns no state, reads no clock and does no I/O.

Rule: a draining region, or one without slots, gets nothing while another can take its callers. A
region whose measures are missing or old keeps at most what it holds. A region over the ceiling
shrinks in proportion; any other gains at most this planner's part of its free slots and one warm-up
step, and at most what its link carries. What fits nowhere stays where it is.

Why: several planners may choose the same quiet region at once, so each takes only its part of the
free slots, and gains are counted from the smallest share that the delayed measures may still
reflect. Without that the same free slots are given out again in each round: with 3 planners and
measures 4 rounds late the planned load passed the ceiling (`tests.test_guard`). Smaller steps alone
only delay that overload. Refusing is left to the regions, which know their slots exactly.

Constants: `GuardLimits` comes from the configuration; its defaults, `_DEFAULT_LATENCY_MS` and
`_LEAST_SLOT_S` are guesses.

Shows in: the notes of `Granted`, which `sprucewinch explain` and `compare` print as `limits` and
`/state` of the routed path lists by service. No log line: a limit takes effect in every round.

Tests: `tests.test_guard` (`Filters`, `NoDecisionOverloads`), `tests.test_gateway_policies`.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple, Optional

from .measures import RegionMeasures, Snapshot
from .placement import Shares, make_shares

Weights = dict[str, float]

_EPSILON = 1e-9
"""Difference of shares that counts as none: above the rounding errors of sums of a few doubles,
far below the share of one caller."""

_DEFAULT_LATENCY_MS = 50.0
"""Time that a request is taken to hold a slot while nothing is measured, in milliseconds."""

_LEAST_SLOT_S = 1e-4
"""Shortest time that a request is taken to hold a slot, in seconds; keeps a region that measures 0
from being granted any number of requests."""


class GuardLimits(NamedTuple):
    """Limits of the guard, from the configuration.

    Args:
        ceiling: Largest part of a region's slots that steering plans to use; the rest is a margin
            for load that the measures do not show yet.
        stale_s: Age beyond which measures are too old for a region to gain, in seconds.
        warm_step: Largest part of a region's slots' worth of callers it may gain in one window.
        planners: How many client regions plan on their own; each may use its part of the free
            slots.
    """

    ceiling: float = 0.8
    stale_s: float = 5.0
    warm_step: float = 0.25
    planners: int = 1


class Granted(NamedTuple):
    """What the guard grants, and why it differs from what was wanted.

    Args:
        shares: Granted shares, before the shift cap.
        notes: `limit:region` for each limit that took effect; the limit is `drained`, `stale`,
            `link`, `ceiling`, `headroom` or `warm-up`.
    """

    shares: Shares
    notes: tuple[str, ...]


def grant(
    wanted: Mapping[str, float], current: Shares, snapshot: Snapshot, limits: GuardLimits
) -> Granted:
    """Turn wanted weights into granted shares.

    Args:
        wanted: Weights by region from a policy; finite, 0 or more, not all 0.
        current: Shares in force.
        snapshot: Measures of all regions, as seen from one client region.
        limits: Limits.

    Returns:
        The granted shares and the limits that took effect.
    """
    held = current.as_dict()
    weights, drained = _without_drained(_normalised(wanted, snapshot), held, snapshot)
    bounds = {
        region: _bound(region, held.get(region, 0.0), snapshot, limits) for region in snapshot.order
    }
    cut = [f"{b.why}:{r}" for r, b in bounds.items() if weights[r] > b.share + _EPSILON]
    fitted = _fit(weights, held, {region: bound.share for region, bound in bounds.items()})
    return Granted(make_shares(snapshot.order, fitted), (*drained, *cut))


def valid_weights(wanted: object, order: tuple[str, ...]) -> Optional[str]:
    """Check what a policy returned.

    Args:
        wanted: What the policy returned.
        order: Known regions.

    Returns:
        None when it is usable; otherwise what is wrong with it.
    """
    if not isinstance(wanted, dict):
        return "the result is no dictionary of region to weight"
    for region, weight in wanted.items():
        if region not in order:
            return f"{region!r} is no region"
        problem = _weight_problem(weight)
        if problem is not None:
            return f"the weight of {region!r} is {problem}"
    if sum(wanted.values()) <= _EPSILON:
        return "all weights are 0"
    if not math.isfinite(sum(wanted.values())):
        return "the weights are too large to add"
    return None


def _weight_problem(weight: object) -> Optional[str]:
    if isinstance(weight, bool) or not isinstance(weight, int | float):
        return "no number"
    if not math.isfinite(weight) or weight < 0:
        return "not a finite number of 0 or more"
    return None


def _normalised(wanted: Mapping[str, float], snapshot: Snapshot) -> Weights:
    total = sum(wanted.values())
    return {region: wanted.get(region, 0.0) / total for region in snapshot.order}


def _usable(measures: RegionMeasures) -> bool:
    return measures.capacity > 0 and not measures.drained


def _without_drained(
    weights: Weights, held: Weights, snapshot: Snapshot
) -> tuple[Weights, tuple[str, ...]]:
    """Return weights without unusable regions, and a note for each region that loses some.

    When no usable region is wanted, the usable ones get weight by their slots; when none is usable,
    the shares in force stay.
    """
    usable = {region: _usable(measures) for region, measures in snapshot.regions.items()}
    lost = tuple(
        f"drained:{region}"
        for region, weight in weights.items()
        if not usable[region] and (weight > 0 or held.get(region, 0.0) > 0)
    )
    kept = {region: weight if usable[region] else 0.0 for region, weight in weights.items()}
    if sum(kept.values()) > _EPSILON:
        return kept, lost
    fallback = {r: m.capacity if usable[r] else 0.0 for r, m in snapshot.regions.items()}
    total = sum(fallback.values())
    if total <= _EPSILON:
        return dict(held), lost
    return {region: capacity / total for region, capacity in fallback.items()}, lost


class _Bound(NamedTuple):
    """The largest share that a region may have now, and the limit that sets it."""

    share: float
    why: str


def _bound(region: str, held: float, snapshot: Snapshot, limits: GuardLimits) -> _Bound:
    measures = snapshot.regions[region]
    if not _usable(measures):
        return _Bound(0.0, "drained")
    if measures.age_s is None or measures.age_s > limits.stale_s:
        return _Bound(held, "stale")
    if snapshot.demand_per_s <= 0:
        return _Bound(1.0, "room")
    link = _Bound(snapshot.link_per_s.get(region, math.inf) / snapshot.demand_per_s, "link")
    return min(_room(region, held, snapshot, limits), link)


def _room(region: str, held: float, snapshot: Snapshot, limits: GuardLimits) -> _Bound:
    """Return the bound from slots: shrink above the ceiling, else gain part of the free slots."""
    measures = snapshot.regions[region]
    if _over_ceiling(measures, limits):
        part = limits.ceiling * measures.capacity / measures.in_use
        return _Bound(min(held, snapshot.share_high.get(region, held) * part), "ceiling")
    warm = limits.warm_step * measures.capacity / _slot_seconds(measures)
    free = _headroom_gain(measures, limits)
    gain = min(free, warm) / snapshot.demand_per_s
    share = max(held, snapshot.share_low.get(region, held) + gain)
    return _Bound(min(share, 1.0), "headroom" if free < warm else "warm-up")


def _over_ceiling(measures: RegionMeasures, limits: GuardLimits) -> bool:
    return measures.in_use > limits.ceiling * measures.capacity


def _headroom_gain(measures: RegionMeasures, limits: GuardLimits) -> float:
    """Return the requests a second that this client region's planner may add to a region."""
    free = max(0.0, limits.ceiling * measures.capacity - measures.in_use)
    return free / _slot_seconds(measures) / limits.planners


def _slot_seconds(measures: RegionMeasures) -> float:
    """Return the time that one request holds a slot, measured where possible, in seconds."""
    if measures.in_use > 0 and measures.arrivals_per_s > 0:
        held_s = measures.in_use / measures.arrivals_per_s
    else:
        held_s = (measures.latency_ms or _DEFAULT_LATENCY_MS) / 1000.0
    return max(held_s, _LEAST_SLOT_S)


def _fit(weights: Weights, held: Weights, bounds: Weights) -> Weights:
    """Cut each weight to its bound and give the excess to regions below theirs.

    Regions get back what they held before others gain. What fits nowhere stays where it is held
    now: the regions' own admission refuses what they cannot run, and moving it elsewhere would only
    move the overload.
    """
    fitted = {region: min(weight, bounds[region]) for region, weight in weights.items()}
    excess = 1.0 - sum(fitted.values())
    for basis in (held, bounds):
        if excess <= _EPSILON:
            break
        room = {r: max(0.0, min(basis.get(r, 0.0), bounds[r]) - fitted[r]) for r in fitted}
        total = sum(room.values())
        if total <= 0:
            continue
        part = min(1.0, excess / total)
        for region in fitted:
            fitted[region] += room[region] * part
        excess -= total * part
    if excess > _EPSILON:
        _leave_excess(fitted, held, bounds, excess)
    return fitted


def _leave_excess(fitted: Weights, held: Weights, bounds: Weights, excess: float) -> None:
    """Add what fits nowhere to `fitted`, in proportion to the shares in force."""
    basis = {r: held.get(r, 0.0) if bounds[r] > 0 else 0.0 for r in fitted}
    if sum(basis.values()) <= _EPSILON:
        basis = {r: bounds[r] for r in fitted}
    if sum(basis.values()) <= _EPSILON:
        basis = dict(held)
    total = sum(basis.values()) or 1.0
    for region in fitted:
        fitted[region] += excess * basis.get(region, 0.0) / total
