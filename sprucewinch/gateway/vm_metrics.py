"""Metrics that a VM serves on `/metrics`: counters, gauges and latency quantiles.

Owns the list of gauges; the counters and quantiles belong to `decision_log`. Relies on the parts of
`composition` and changes nothing. Operators and tools read gauges by name, so the names must not
change.
"""

import resource
from collections.abc import Iterable, Iterator

from ..net.connection_counts import ListenerConnection
from .connection_metrics import connection_gauges
from .parts import Context, Parts
from .servers.capacity.live_estimates import MAX_REPORT_AGE_S

_KIB_PER_MIB = 1024
"""Kibibytes in a mebibyte; the system states a process's peak memory in kibibytes."""


def vm_metrics(
    context: Context, parts: Parts, connections: Iterable[ListenerConnection] = ()
) -> Iterator[str]:
    """Yield the metrics of a VM as lines of name and value, in parts.

    Args:
        context: Common dependencies.
        parts: The parts of the VM.
        connections: The open connections of its listeners.
    """
    now = context.monotonic()
    view = parts.state.view
    gauges = {
        "in_flight": parts.requests.app.in_flight,
        "body_bytes": parts.requests.app.buffered,
        "bodies_arriving": parts.requests.app.bodies.arriving,
        "answer_bytes": parts.requests.app.bodies.answer_bytes,
        "answer_bytes_arriving": parts.requests.app.bodies.arriving_answer_bytes,
        "requests_behind_others": parts.requests.app.answers.behind,
        "backend_connections_opened": parts.servers.pool.opened + parts.servers.links.check.opened,
        "store_era": view.era,
        "store_calls": parts.state.store.calls,
        "store_revision": view.replica.complete_revision,
        "announced_revision": parts.fleet.follow_role.announced_revision,
        "store_age_s": now - view.confirmed_at,
        "configuration_version": context.events.configuration_version,
        "members": len(view.members),
        "members_open": sum(parts.fleet.gossip.accepts_callers(m, now) for m in view.members),
        "capacity_requests_per_s": parts.fleet.gossip.requests_per_s,
        "limit_vms": parts.servers.registry.vm_count(),
        "backend_servers": len(view.backends),
        "servers_doubted": sum(
            s.limited_as_cold(now) and not s.cold(now)
            for s in parts.servers.registry.servers.values()
        ),
        "servers_cold": sum(s.cold(now) for s in parts.servers.registry.servers.values()),
        "requests_held": len(parts.crashes.quarantine.entries),
        "quota_asks": parts.workspaces.exchange.asked,
        "server_links_up": parts.servers.links.up,
        **_statement_gauges(parts, now),
        **_load_gauges(parts, now),
        **connection_gauges(connections),
        **_memory_gauges(parts),
        **context.events.loop_holds.gauges(),
        "neighbour_deltas": parts.fleet.peer_follower.deltas_applied,
    }
    yield from context.events.report_parts(gauges)


def _memory_gauges(parts: Parts) -> dict[str, float]:
    """Return the peak memory of this process, and the rows that it keeps by name."""
    peak_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    rows = parts.named_state.row_counts().items()
    return {
        "memory_peak_mib": peak_kib / _KIB_PER_MIB,
        **{f'state_rows{{table="{title}"}}': count for title, count in rows},
    }


def _statement_gauges(parts: Parts, now: float) -> dict[str, float]:
    """Return the numbers of backend servers that are leaving, limited or resting.

    They include only the statements that have reached this VM.
    """
    rows = parts.servers.registry.statement_table.rows.values()
    return {
        "servers_leaving": sum(stated.leaving_since is not None for stated in rows),
        "servers_limited": sum(stated.is_limited(now) for stated in rows),
        "servers_resting": sum(stated.pause_until > now for stated in rows),
    }


def _load_gauges(parts: Parts, now: float) -> dict[str, float]:
    """Return what VMs tell each other of server loads, and how old the known loads are."""
    ages_s = [server.load_age_s(now) for server in parts.servers.registry.servers.values()]
    recent_s = [age_s for age_s in ages_s if age_s <= MAX_REPORT_AGE_S]
    sharing = parts.load_sharing
    return {
        "load_summaries_sent": sharing.sent_count,
        "load_summaries_received": sharing.received_count,
        "load_rows_used": sharing.received.used,
        "load_rows_dropped": sharing.received.dropped,
        "servers_load_known": len(recent_s),
        "servers_load_age_s": sum(recent_s) / len(recent_s) if recent_s else 0.0,
    }
