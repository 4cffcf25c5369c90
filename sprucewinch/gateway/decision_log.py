"""Structured lines for decisions, bounded in number, and the counters beside them.

Owns the shape of the lines of requests and of learnt changes, and all counters. Relies on
`telemetry.line_rate` for which lines are written and on `telemetry.latency_histograms` for the
quantiles. Names of events, fields and counters are read by others, so they stay.
"""

from collections import Counter
from collections.abc import Callable
from typing import Any, Optional

import msgspec

from .events import EventLog
from .requests.client_request import ClientRequest, Reply
from .requests.request_log import RequestLog
from .resources import RouteConfiguration
from .state.store_view import Change
from .telemetry.latency_histograms import LatencyHistograms
from .telemetry.line_rate import LineRate

_MS_PER_S = 1000
"""Milliseconds in a second; times in lines are in milliseconds."""

_TIME_DIGITS = 3
"""Decimal places of a line's time of day, in seconds: a millisecond."""


class DecisionLog(EventLog, RequestLog):
    """Writes lines and counts.

    Lines beyond the rate are dropped and counted, plain answers first.

    Args:
        emit: Takes one line.
        monotonic: Source of time, in seconds.
        wall: Source of the time of day, in seconds since the epoch.
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
        self.configuration_version = 0
        self.line_rate = LineRate(monotonic())

    def state(self, event: str, **inputs: Any) -> None:
        """Write a line for a change of what the process is or holds."""
        self._line(event, inputs, plain=False)

    def count(self, counter: str) -> None:
        """Count one more of something."""
        self.counters[counter] += 1

    def learned(self, change: Change) -> None:
        """Write a line for a change of what is held of the store."""
        after = change.after
        if isinstance(after, RouteConfiguration):
            self.configuration_version = after.version
            self.state("configuration", version=after.version, routes=len(after.routes))
            return
        word = "gone" if after is None else ("changed" if change.before else "new")
        self.state("fact", key=change.key, word=word, revision=change.revision)

    def replied(self, request: ClientRequest, reply: Reply, seconds: float) -> None:
        """Write a line for a request's final answer and count it."""
        outcome = reply.refusal.value if reply.refusal else "answered"
        self.counters[f"requests_{outcome}"] += 1
        route = reply.route.name if reply.route else ""
        if reply.answer is not None:
            self.latency.observe(route, seconds)
        plain = reply.answer is not None and len(request.attempts) == 1
        self._request(request, outcome, reply.status, route, seconds, plain=plain)

    def left(self, request: ClientRequest, seconds: float) -> None:
        """Write a line for a caller that left before its answer."""
        self.counters["requests_left"] += 1
        self._request(request, "left", 0, "", seconds, plain=False)

    def _request(
        self,
        request: ClientRequest,
        outcome: str,
        status: int,
        route: str,
        seconds: float,
        *,
        plain: bool,
    ) -> None:
        for send in request.attempts[1:]:
            self.counters[f"repeats_after_{send.verdict.value}"] += 1
        inputs = {
            "id": request.id,
            "outcome": outcome,
            "status": status,
            "route": route,
            "object": request.key,
            "ms": round(seconds * _MS_PER_S, 1),
            "version": self.configuration_version,
            "sends": [
                [s.server_id, s.verdict.value, s.why, round(s.seconds * _MS_PER_S, 1)]
                for s in request.attempts
            ],
        }
        if request.blocked is not None and not request.attempts:
            inputs["blocked"] = request.blocked.log_fields()
        if request.caller.workspace is not None:
            inputs["workspace"] = request.caller.workspace.name
        self._line("request", inputs, plain=plain)

    def _line(self, event: str, inputs: dict[str, Any], *, plain: bool) -> None:
        if not self.line_rate.admits(self.monotonic(), plain=plain):
            self.counters["lines_dropped"] += 1
            return
        row = {"time": round(self.wall(), _TIME_DIGITS), "event": event, **inputs}
        self.emit(msgspec.json.encode(row).decode())

    def report(self, gauges: Optional[dict[str, float]] = None) -> str:
        """Return counters, gauges and latency quantiles as lines of name and value.

        Args:
            gauges: Further values by name.
        """
        lines = [f"{name} {count}" for name, count in sorted(self.counters.items())]
        lines += [f"{name} {value:g}" for name, value in sorted((gauges or {}).items())]
        lines += self.latency.lines()
        return "\n".join(lines) + "\n"
