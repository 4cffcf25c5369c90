"""Judges the limits that all entry VMs keep together, whatever faults occurred meanwhile.

Owns the promises FAILBACK, on requests to cold backend servers, and BUDGET, on arrivals beyond the
first of each request, both counted at the servers as the platform's rules do. No fault excuses
either; FAILBACK has the time in which only health answers tell that a server is cold.
"""

from collections import defaultdict
from collections.abc import Iterable

from .evidence import Evidence

HEALTH_S = 1.0
"""Seconds after which entry VMs have to know of a server that is cold."""

_COLD_WINDOW_S = 1.0

_RETRY_RATIO, _RETRY_SLACK, _RETRY_WINDOW_S = 0.2, 60.0, 10.0
"""Bounds `RetryBudgetRatio`, `BudgetSlack` and `BudgetWindow` of the entry VMs' settings."""


def cold_servers_are_spared(evidence: Evidence) -> None:
    """Judge that a cold server gets no more requests in a second than it bears."""
    for server in evidence.servers:
        stand_in = server.stand_in
        for start, end in stand_in.cold_spans:
            times = [at for at, _ in stand_in.arrived if start + HEALTH_S <= at <= end]
            most = most_in_window(times, _COLD_WINDOW_S)
            if most > evidence.cold_per_s:
                what = f"{stand_in.server_id}, cold since {start:.2f}, got {most} in a second"
                evidence.ledger.record_broken("FAILBACK", what)


def retries_within_budget(evidence: Evidence) -> None:
    """Judge that each service gets few arrivals beyond the first of their requests."""
    firsts: dict[str, dict[str, float]] = defaultdict(dict)
    repeats: dict[str, list[float]] = defaultdict(list)
    arrivals = sorted(
        (at, request_id, server.service)
        for server in evidence.servers
        for at, request_id in server.stand_in.arrived
    )
    for at, request_id, service in arrivals:
        if request_id in firsts[service]:
            repeats[service].append(at)
        firsts[service].setdefault(request_id, at)
    sent_at = {attempt.request_id: attempt.sent_at for attempt in evidence.ledger.attempts}
    for service, times in repeats.items():
        requests = sorted(sent_at.get(name, at) for name, at in firsts[service].items())
        _judge_repeats(evidence, service, times, requests)


def _judge_repeats(
    evidence: Evidence, service: str, repeats: list[float], requests: list[float]
) -> None:
    for start in repeats:
        count = _between(repeats, start)
        most = max(
            _between(requests, start + shift)
            for shift in (0.0, -_RETRY_WINDOW_S, -_RETRY_WINDOW_S / 2)
        )
        allowed = _RETRY_RATIO * most + _RETRY_SLACK
        if count > allowed:
            what = f"{service} got {count} repeats from {start:.2f} on, allowed {allowed:.0f}"
            evidence.ledger.record_broken("BUDGET", what)
            return


def most_in_window(times: Iterable[float], window_s: float) -> int:
    """Return the most of some times within a window, in seconds."""
    ordered = sorted(times)
    most, first = 0, 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def _between(times: list[float], start: float) -> int:
    return sum(start <= at < start + _RETRY_WINDOW_S for at in times)
