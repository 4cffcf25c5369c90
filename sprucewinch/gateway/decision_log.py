"""Structured log of the gateway's decisions, limited in rate, and its counters.

Owns the format of the lines about requests and about changes in the store, and all counters. Relies
on `telemetry.line_rate` to decide which lines are written and on `telemetry.latency_histograms` for
the quantiles. Operators and tools read events, fields and counters by name, so the names must not
change.
"""

import contextlib
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Optional

import msgspec

from .events import EventLog
from .requests.client_request import ClientRequest, Reply, SelectionReason
from .requests.outcome.process_end import ProcessEnd, StopOutcome
from .requests.request_log import RequestLog
from .resources import RouteConfiguration
from .state.named_state import NamedStateOwner, NamedTable, NameKind
from .state.store_view import Change
from .telemetry.latency_histograms import LatencyHistograms
from .telemetry.line_rate import LineRate
from .telemetry.loop_holds import LoopHolds

_MS_PER_S = 1000
"""Milliseconds in a second; durations in lines are in milliseconds."""

_TIME_DIGITS = 3
"""Decimal places of the wall-clock time in seconds, which give it to the millisecond."""


class DecisionLog(EventLog, RequestLog, NamedStateOwner):
    """Writes lines and keeps the counters.

    Lines beyond the rate limit are dropped and counted, plain answers first.

    Args:
        emit: Writes one line.
        monotonic: Source of monotonic time, in seconds.
        wall: Source of wall-clock time, in seconds since the epoch.
    """

    def __init__(
        self,
        emit: Callable[[str], None],
        *,
        monotonic: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self.emit = emit
        self.monotonic = monotonic
        self.wall = wall
        self.counters: Counter[str] = Counter()
        self.latency = LatencyHistograms()
        self.loop_holds = LoopHolds()
        self.configuration_version = 0
        self.line_rate = LineRate(monotonic())

    def named_tables(self) -> Iterable[NamedTable]:
        """Return the histograms by route; see `NamedStateOwner`."""
        return (NamedTable("latency_by_route", NameKind.ROUTE, self.latency.by_route),)

    def state(self, event: str, **fields: Any) -> None:
        """Write a line about a change of the process's state."""
        self._write_line(event, fields, plain=False)

    def count(self, counter: str) -> None:
        """Increment a counter by one."""
        self.counters[counter] += 1

    @contextlib.contextmanager
    def loop_step(self, step: str) -> Iterator[None]:
        """Measure how long a step holds the event loop, and log a long hold."""
        started = self.monotonic()
        try:
            yield
        finally:
            seconds = self.monotonic() - started
            if self.loop_holds.record(step, seconds):
                self.state("loop-hold", step=step, ms=round(seconds * _MS_PER_S, 1))

    def learned(self, change: Change) -> None:
        """Write a line about a change in this VM's copy of the store."""
        after = change.after
        if isinstance(after, RouteConfiguration):
            self.configuration_version = after.version
            self.state("configuration", version=after.version, routes=len(after.routes))
            return
        word = "gone" if after is None else ("changed" if change.before else "new")
        self.state("fact", key=change.key, word=word, revision=change.revision)

    def replied(self, request: ClientRequest, reply: Reply, seconds: float) -> None:
        """Write a line about a request's final answer and count it."""
        outcome = reply.refusal.value if reply.refusal else "answered"
        self.counters[f"requests_{outcome}"] += 1
        route = reply.route.name if reply.route else ""
        if reply.answer is not None:
            self.latency.observe(route, seconds)
        plain = reply.answer is not None and len(request.attempts) == 1
        self._write_request(request, outcome, reply.status, route, seconds, plain=plain)

    def caller_left(self, request: ClientRequest, seconds: float) -> None:
        """Write a line about a request whose caller disconnected before the answer."""
        self.counters["requests_left"] += 1
        self._write_request(request, "left", 0, "", seconds, plain=False)

    def stopped(self, request: ClientRequest, outcome: StopOutcome, end: ProcessEnd) -> None:
        """Write a line about a request that a stop refuses or breaks off, and count it."""
        self.counters[f"requests_{outcome.name.lower()}_by_stop"] += 1
        times = {
            "stop_ms": end.begun_at,
            "read_ms": request.arrived_at,
            "whole_ms": request.whole_at,
            "sent_ms": request.sent_at,
            "ended_ms": self.monotonic(),
        }
        since = {name: end.since_signal_s(at) for name, at in times.items()}
        self.state(
            "request-stopped",
            id=request.id,
            end=outcome.value,
            server=request.sent_to,
            **{name: s if s is None else round(s * _MS_PER_S, 1) for name, s in since.items()},
        )

    def _write_request(
        self,
        request: ClientRequest,
        outcome: str,
        status: int,
        route: str,
        seconds: float,
        *,
        plain: bool,
    ) -> None:
        for attempt in request.attempts[1:]:
            self.counters[f"repeats_after_{attempt.verdict.value}"] += 1
        fields = {
            "id": request.id,
            "outcome": outcome,
            "status": status,
            "route": route,
            "object": request.key,
            "ms": round(seconds * _MS_PER_S, 1),
            "version": self.configuration_version,
            "sends": [
                [a.server_id, a.verdict.value, a.cause, round(a.seconds * _MS_PER_S, 1)]
                for a in request.attempts
            ],
        }
        if request.blocked is not None and not request.attempts:
            fields["blocked"] = request.blocked.log_fields()
        if request.caller.workspace is not None:
            fields["workspace"] = request.caller.workspace.name
        if request.relayed_by:
            fields["relayed_by"] = request.relayed_by
        sooner = [a.server_id for a in request.attempts if a.selected is SelectionReason.SOONER]
        if sooner:
            self.counters["sends_to_sooner_servers"] += len(sooner)
            fields["sooner"] = sooner
        self._write_line("request", fields, plain=plain)

    def _write_line(self, event: str, fields: dict[str, Any], *, plain: bool) -> None:
        if not self.line_rate.admits(self.monotonic(), plain=plain):
            self.counters["lines_dropped"] += 1
            return
        row = {"time": round(self.wall(), _TIME_DIGITS), "event": event, **fields}
        self.emit(msgspec.json.encode(row).decode())

    def report(self, gauges: Optional[dict[str, float]] = None) -> str:
        """Return counters, gauges and latency quantiles as lines of name and value.

        Args:
            gauges: Gauge values by name.
        """
        return "".join(self.report_parts(gauges or {}))

    def report_parts(self, gauges: dict[str, float]) -> Iterator[str]:
        """Yield the lines of `report` in parts, of which none grows with the number of routes.

        Args:
            gauges: Gauge values by name.
        """
        lines = [f"{name} {count}\n" for name, count in sorted(self.counters.items())]
        lines += [f"{name} {value:g}\n" for name, value in sorted(gauges.items())]
        yield "".join(lines)
        yield from self.latency.parts()
