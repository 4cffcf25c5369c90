"""Reports for operators: the fleet's status, explanations of steering, policies side by side.

Owns the form of these reports, field by field; the command line prints them as they are. Works
everything out from a `Node` and a time, changes nothing and does no I/O. Relies on
`hall.planning` for plans and measures and on `steering` for what would be granted.
"""

from typing import Any, Optional

from ..config.configuration import Configuration
from ..errors import ConfigurationError
from ..hall.node import Node
from ..hall.peers.peer_pb2 import Member, State
from ..hall.peers.view import MeasuresView
from ..hall.planning.lookup import first_entry_vm
from ..hall.planning.planner import guard_limits
from ..hall.planning.shares_in_force import Plan
from ..hall.planning.topology import Topology
from ..net.outcome import Refusal
from ..steering.guard import limit_shares
from ..steering.measures import Snapshot
from ..steering.placement import Shares
from ..steering.policy import PolicyFault

_SHARE_DIGITS = 4
"""Decimals of a printed share: a hundredth of a per cent."""

_HEADROOM_DIGITS = 3
"""Decimals of a printed headroom: a tenth of a per cent."""


def status(node: Node, now: float) -> dict[str, Any]:
    """Return every entry VM known to a node, who lags, and what is draining.

    Args:
        node: This VM's view.
        now: Monotonic time, in seconds.
    """
    records = node.membership.records.values()
    members = [node.own, *(record.member for record in records)]
    newest = max(member.config_revision for member in members)
    rows = [_vm_row(node, member, newest, now) for member in sorted(members, key=lambda m: m.vm)]
    held: dict[str, dict[str, int]] = {}
    for member in members:
        for thing, requests in member.held.items():
            held.setdefault(thing, {})[member.vm] = requests
    drained = list(node.topology.document.drained) if node.topology else []
    things = sorted({*drained, *held})
    return {
        "asked": node.own.vm,
        "newest_revision": newest,
        "vms": rows,
        "drains": [_drain_row(node, thing, held.get(thing, {})) for thing in things],
    }


def _vm_row(node: Node, member: Member, newest: int, now: float) -> dict[str, Any]:
    age = node.membership.age_s(member.vm, now)
    return {
        "vm": member.vm,
        "hall": member.hall,
        "region": member.region,
        "state": State.Name(member.state).lower(),
        "revision": member.config_revision,
        "lags": member.config_revision < newest,
        "slots": int(sum(load.capacity for load in member.loads)),
        "in_flight": member.in_flight,
        "heard_s": round(age or 0.0, 1),
        "operators_address": member.operators_address,
    }


def _drain_row(node: Node, thing: str, held: dict[str, int]) -> dict[str, Any]:
    busy = {vm: requests for vm, requests in sorted(held.items()) if requests}
    row: dict[str, Any] = {"thing": thing, "in_flight": sum(busy.values()), "held_up_by": busy}
    kind, _, name = thing.partition(":")
    if kind == "region" and node.topology is not None:
        row["shares_left"] = _largest_shares(node, name)
    return row


def _largest_shares(node: Node, region: str) -> dict[str, float]:
    """Return the largest share that any client region still gives a region, by service."""
    left: dict[str, float] = {}
    for key, limiter in node.shares_in_force.limiters.items():
        share = limiter.current.share(region)
        left[key.service] = round(max(left.get(key.service, 0.0), share), _SHARE_DIGITS)
    return left


def explain(node: Node, block: str, service: str, now: float) -> dict[str, Any]:
    """Return where callers of a block are sent for a service, with every input of that choice.

    Args:
        node: This VM's view.
        block: Client block or address.
        service: Service.
        now: Monotonic time, in seconds.

    Raises:
        ConfigurationError: When no configuration is in force here.
    """
    if node.lookups is None or node.topology is None:
        raise _no_configuration()
    place = node.lookups.place(block, service)
    if isinstance(place, Refusal):
        return {"block": block, "service": service, "refused": place.reason.value}
    measured = MeasuresView(node.topology, node.membership, place.client_region, now).snapshot(
        service
    )
    return {
        "block": block,
        "service": service,
        "client_region": place.client_region,
        "key": place.key.hex(),
        "region": place.region,
        "entry_vm": _entry_vm(node, block, service),
        "policy": node.topology.services[service].policy,
        "revision": node.revision,
        **_plan_fields(node.shares_in_force.plans.get(place.client_region), service),
        "regions": _region_rows(
            node.shares_in_force.shares(place.client_region, service), measured
        ),
    }


def _no_configuration() -> ConfigurationError:
    return ConfigurationError("no configuration is in force here", "apply one, or ask another VM")


def _entry_vm(node: Node, block: str, service: str) -> Optional[str]:
    """Return the entry VM that a look-up names first; None when it is refused or names none."""
    answer = node.lookup(block, service)
    first = first_entry_vm(answer) if isinstance(answer, bytes) else None
    return first.vm if first else None


def _plan_fields(plan: Optional[Plan], service: str) -> dict[str, Any]:
    if plan is None:
        return {"plan_revision": 0, "planner": None, "limits": [], "fault": None}
    return {
        "plan_revision": plan.revision,
        "planner": plan.planner,
        "limits": list(plan.notes.get(service, ())),
        "fault": plan.faults.get(service),
    }


def _region_rows(shares: Shares, measured: Snapshot) -> list[dict[str, Any]]:
    return [
        {
            "region": region,
            "share": round(shares.share(region), _SHARE_DIGITS),
            "headroom": round(measures.headroom, _HEADROOM_DIGITS),
            "latency_ms": measures.latency_ms,
            "distance_ms": measured.distance_ms[region],
            "age_s": measures.age_s,
            "drained": measures.drained,
        }
        for region, measures in measured.regions.items()
    ]


def compare_policies(node: Node, service: str, names: list[str], now: float) -> dict[str, Any]:
    """Return what policies would want, and be granted, on the present measures.

    Args:
        node: This VM's view.
        service: Service.
        names: Policies; all when empty.
        now: Monotonic time, in seconds.

    Raises:
        ConfigurationError: When the service or a policy is unknown.
    """
    topology = node.topology
    if topology is None or service not in topology.services:
        known = ", ".join(topology.services) if topology else "none"
        raise ConfigurationError(f"no service {service!r}", f"write one of: {known}")
    unknown = [name for name in names if name not in node.policies]
    if unknown:
        raise ConfigurationError(
            f"no policy {unknown[0]!r}", f"write one of: {', '.join(sorted(node.policies))}"
        )
    rows = [
        _comparison(node, topology, service, name, region, now)
        for name in names or sorted(node.policies)
        for region in topology.order
    ]
    return {"service": service, "rows": rows}


def _comparison(
    node: Node, topology: Topology, service: str, name: str, client_region: str, now: float
) -> dict[str, Any]:
    measured = MeasuresView(topology, node.membership, client_region, now).snapshot(service)
    current: Shares = node.shares_in_force.shares(client_region, service)
    wanted = node.policies[name].weights(measured)
    row: dict[str, Any] = {"policy": name, "client_region": client_region}
    if isinstance(wanted, PolicyFault):
        return {**row, "fault": wanted.problem}
    granted = limit_shares(wanted, current, measured, guard_limits(topology))
    total = sum(wanted.values())
    return {
        **row,
        "now": _rounded(current.as_dict()),
        "wanted": _rounded({r: wanted.get(r, 0) / total for r in topology.order}),
        "granted": _rounded(granted.shares.as_dict()),
        "limits": list(granted.notes),
    }


def _rounded(weights: dict[str, float]) -> dict[str, float]:
    return {region: round(weight, _SHARE_DIGITS) for region, weight in weights.items()}


def sizes(configuration: Configuration) -> dict[str, int]:
    """Return the number of regions, halls, services, servers and links of a configuration."""
    return {
        "regions": len(configuration.region),
        "halls": len(configuration.hall),
        "services": len(configuration.service),
        "servers": sum(len(pool.servers) for pool in configuration.pool),
        "links": len(configuration.link),
    }
