"""Structured lines for decisions, bounded in number, and the counters beside them."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Optional

import msgspec
from hdrh.histogram import HdrHistogram

from .events import EventLog
from .requests.client_request import ClientRequest, Reply
from .requests.request_log import RequestLog
from .resources import RouteConfiguration
from .state.store_view import Change

_LINES_PER_S = 150.0
_BURST = 300.0
_HIGHEST_US = 600_000_000


class DecisionLog(EventLog, RequestLog):
    """Writes lines and counts.

    Lines beyond the rate are dropped and counted; answers in full are dropped first.

    Args:
        emit: Takes one line.
        monotonic: Source of time.
        wall: Source of the time of day.
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
        self.latency: dict[str, HdrHistogram] = {}
        self.configuration_version = 0
        self._tokens = _BURST
        self._refilled_at = monotonic()

    def state(self, event: str, **inputs: Any) -> None:
        """Write a line for a change of what the process is or believes."""
        self._line(event, inputs, reserve=0.0)

    def count(self, counter: str) -> None:
        """Count one more of something."""
        self.counters[counter] += 1

    def learned(self, change: Change) -> None:
        """Write a line for a fact that was learnt."""
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
            self._observe(route, seconds)
        plain = reply.answer is not None and len(request.attempts) == 1
        self._request(request, outcome, reply.status, route, seconds, half=plain)

    def left(self, request: ClientRequest, seconds: float) -> None:
        """Write a line for a caller that left before its answer."""
        self.counters["requests_left"] += 1
        self._request(request, "left", 0, "", seconds, half=False)

    def _request(
        self,
        request: ClientRequest,
        outcome: str,
        status: int,
        route: str,
        seconds: float,
        *,
        half: bool,
    ) -> None:
        for send in request.attempts[1:]:
            self.counters[f"repeats_after_{send.verdict.value}"] += 1
        inputs = {
            "id": request.id,
            "outcome": outcome,
            "status": status,
            "route": route,
            "object": request.key,
            "ms": round(seconds * 1000, 1),
            "version": self.configuration_version,
            "sends": [
                [s.server_id, s.verdict.value, s.why, round(s.seconds * 1000, 1)]
                for s in request.attempts
            ],
        }
        if request.blocked is not None and not request.attempts:
            inputs["blocked"] = request.blocked.log_fields()
        self._line("request", inputs, reserve=_BURST / 2 if half else 0.0)

    def _line(self, event: str, inputs: dict[str, Any], *, reserve: float) -> None:
        now = self.monotonic()
        gained = (now - self._refilled_at) * _LINES_PER_S
        self._tokens = min(_BURST, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < reserve + 1:
            self.counters["lines_dropped"] += 1
            return
        self._tokens -= 1
        row = {"time": round(self.wall(), 3), "event": event, **inputs}
        self.emit(msgspec.json.encode(row).decode())

    def _observe(self, route: str, seconds: float) -> None:
        histogram = self.latency.get(route)
        if histogram is None:
            histogram = self.latency[route] = HdrHistogram(1, _HIGHEST_US, 2)
        histogram.record_value(max(1, int(seconds * 1e6)))

    def report(self, gauges: Optional[dict[str, float]] = None) -> str:
        """Return counters, gauges and latency quantiles as lines of name and value."""
        lines = [f"{name} {count}" for name, count in sorted(self.counters.items())]
        lines += [f"{name} {value:g}" for name, value in sorted((gauges or {}).items())]
        for route, histogram in sorted(self.latency.items()):
            for quantile in (50, 90, 99):
                value = histogram.get_value_at_percentile(quantile) / 1000
                lines.append(f'latency_ms{{route="{route}",quantile="{quantile}"}} {value:g}')
        return "\n".join(lines) + "\n"
