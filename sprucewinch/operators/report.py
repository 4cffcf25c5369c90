"""Reports for operators: status of the fleet, explanations of steering, comparison of policies.

The module owns the fields of these reports; the command line prints them unchanged. Each report is
computed from a `Node` and a time, without changes or I/O. `hall.planning` provides plans and
measurements, and `steering` the shares that a policy would be granted.
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
"""Decimals of a reported share, which is a hundredth of a per cent."""

_HEADROOM_DIGITS = 3
"""Decimals of a reported headroom, which is a tenth of a per cent."""


def status(node: Node, now: float) -> dict[str, Any]:
    """Return the entry VMs that a node knows and the drains in progress.

    A VM lags when its configuration is older than the newest that any VM has. A drain is held up by
    the VMs that still have requests for what is drained.

    Args:
        node: This VM's view of the fleet.
        now: Monotonic time, in seconds.
    """
    records = node.membership.records.values()
    members = [node.own, *(record.member for record in records)]
    newest_revision = max(member.config_revision for member in members)
    rows = [
        _vm_row(node, member, newest_revision, now)
        for member in sorted(members, key=lambda m: m.vm)
    ]
    requests_by_drain: dict[str, dict[str, int]] = {}
    for member in members:
        for drain_key, requests in member.held.items():
            requests_by_drain.setdefault(drain_key, {})[member.vm] = requests
    drained = list(node.topology.document.drained) if node.topology else []
    drain_keys = sorted({*drained, *requests_by_drain})
    return {
        "asked": node.own.vm,
        "newest_revision": newest_revision,
        "vms": rows,
        "drains": [
            _drain_row(node, drain_key, requests_by_drain.get(drain_key, {}))
            for drain_key in drain_keys
        ],
    }


def _vm_row(node: Node, member: Member, newest_revision: int, now: float) -> dict[str, Any]:
    age = node.membership.age_s(member.vm, now)
    return {
        "vm": member.vm,
        "hall": member.hall,
        "region": member.region,
        "state": State.Name(member.state).lower(),
        "revision": member.config_revision,
        "lags": member.config_revision < newest_revision,
        "slots": int(sum(load.capacity for load in member.loads)),
        "in_flight": member.in_flight,
        "heard_s": round(age or 0.0, 1),
        "operators_address": member.operators_address,
    }


def _drain_row(node: Node, drain_key: str, requests_by_vm: dict[str, int]) -> dict[str, Any]:
    busy_vms = {vm: requests for vm, requests in sorted(requests_by_vm.items()) if requests}
    row: dict[str, Any] = {
        "thing": drain_key,
        "in_flight": sum(busy_vms.values()),
        "held_up_by": busy_vms,
    }
    kind, _, name = drain_key.partition(":")
    if kind == "region" and node.topology is not None:
        row["shares_left"] = _largest_shares_by_service(node, name)
    return row


def _largest_shares_by_service(node: Node, region: str) -> dict[str, float]:
    """Return the largest share that any client region still sends to a region, by service."""
    largest_shares: dict[str, float] = {}
    for key, limiter in node.shares_in_force.limiters.items():
        share = limiter.current.share(region)
        largest_shares[key.service] = round(
            max(largest_shares.get(key.service, 0.0), share), _SHARE_DIGITS
        )
    return largest_shares


def explain(node: Node, block: str, service: str, now: float) -> dict[str, Any]:
    """Return where clients of a block are sent for a service, with every input of that choice.

    Args:
        node: This VM's view of the fleet.
        block: Client block or address.
        service: Name of the service.
        now: Monotonic time, in seconds.

    Raises:
        ConfigurationError: When no configuration is in force at this VM.
    """
    if node.lookups is None or node.topology is None:
        raise _no_configuration()
    place = node.lookups.place(block, service)
    if isinstance(place, Refusal):
        return {"block": block, "service": service, "refused": place.reason.value}
    snapshot = MeasuresView(node.topology, node.membership, place.client_region, now).snapshot(
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
            node.shares_in_force.shares(place.client_region, service), snapshot
        ),
    }


def _no_configuration() -> ConfigurationError:
    return ConfigurationError(
        "no configuration is in force at this VM", "apply one, or call another VM"
    )


def _entry_vm(node: Node, block: str, service: str) -> Optional[str]:
    """Return the first entry VM of a lookup; None when the lookup is refused or has none."""
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


def _region_rows(shares: Shares, snapshot: Snapshot) -> list[dict[str, Any]]:
    return [
        {
            "region": region,
            "share": round(shares.share(region), _SHARE_DIGITS),
            "headroom": round(region_snapshot.headroom, _HEADROOM_DIGITS),
            "latency_ms": region_snapshot.latency_ms,
            "distance_ms": snapshot.distance_ms[region],
            "age_s": region_snapshot.age_s,
            "drained": region_snapshot.drained,
        }
        for region, region_snapshot in snapshot.regions.items()
    ]


def compare_policies(node: Node, service: str, names: list[str], now: float) -> dict[str, Any]:
    """Return the shares that policies want, and would be granted, on the current measurements.

    Args:
        node: This VM's view of the fleet.
        service: Name of the service.
        names: Names of the policies; all policies when empty.
        now: Monotonic time, in seconds.

    Raises:
        ConfigurationError: When the service or a policy is unknown.
    """
    topology = node.topology
    if topology is None or service not in topology.services:
        known = ", ".join(topology.services) if topology else "none"
        raise ConfigurationError(f"no service {service!r}", f"name one of: {known}")
    unknown = [name for name in names if name not in node.policies]
    if unknown:
        raise ConfigurationError(
            f"no policy {unknown[0]!r}", f"name one of: {', '.join(sorted(node.policies))}"
        )
    rows = [
        _comparison_row(node, topology, service, name, region, now)
        for name in names or sorted(node.policies)
        for region in topology.order
    ]
    return {"service": service, "rows": rows}


def _comparison_row(
    node: Node, topology: Topology, service: str, name: str, client_region: str, now: float
) -> dict[str, Any]:
    snapshot = MeasuresView(topology, node.membership, client_region, now).snapshot(service)
    current_shares: Shares = node.shares_in_force.shares(client_region, service)
    wanted_weights = node.policies[name].weights(snapshot)
    row: dict[str, Any] = {"policy": name, "client_region": client_region}
    if isinstance(wanted_weights, PolicyFault):
        return {**row, "fault": wanted_weights.problem}
    granted = limit_shares(wanted_weights, current_shares, snapshot, guard_limits(topology))
    total = sum(wanted_weights.values())
    return {
        **row,
        "now": _round_weights(current_shares.as_dict()),
        "wanted": _round_weights({r: wanted_weights.get(r, 0) / total for r in topology.order}),
        "granted": _round_weights(granted.shares.as_dict()),
        "limits": list(granted.notes),
    }


def _round_weights(weights: dict[str, float]) -> dict[str, float]:
    return {region: round(weight, _SHARE_DIGITS) for region, weight in weights.items()}


def element_counts(configuration: Configuration) -> dict[str, int]:
    """Return how many regions, halls, services, servers and links a configuration has."""
    return {
        "regions": len(configuration.region),
        "halls": len(configuration.hall),
        "services": len(configuration.service),
        "servers": sum(len(pool.servers) for pool in configuration.pool),
        "links": len(configuration.link),
    }
