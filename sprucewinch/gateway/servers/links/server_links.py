"""Decides whether this VM reaches the backend servers at all, or has lost its links to them.

While the links are lost, requests are passed to other VMs (`requests.relay`), and failures say
nothing about the servers: no outlier sample, no report to other VMs and no crash follows from them,
and the back-offs that they start end with the loss.

Suspicion comes from `link_evidence`, or when no server has answered for as long as at least two of
them have been silent. It starts a check (`link_check`): the links are lost when the check tries at
least `_MIN_TRIED` servers and reaches none. Servers that accept a connection and stay silent may
just be slow: with any of these, the links are lost only if no request was answered during the check
either, nor for `_SILENCE_LATENCIES` times the mean time of the slowest server, and the first answer
of any server ends that loss. Lost links are checked every
`_TRIAL_INTERVAL_S` without any caller's request; they are back when half of a sample is reached.
The first answer ends a check of links that work, so that it takes two round trips. Requests wait
for a check until it ends, until connections come up and a request is answered, or for `_SETTLE_S`,
as slow servers are no reason to hold them.

Owns the state of the links and since when it holds. Inputs are what requests and the pool see at
servers, and monotonic times in seconds. Relies on the registry for silent servers. Each change
shows in the event `server-links`, the state in the metric `server_links_up` and in
`reaches_servers` of `/state`. Tests: `test_gateway_server_links`, `test_process_lost_server_links`.
"""

import asyncio
from collections.abc import Callable
from typing import Optional

from ...events import EventLog
from ..backend_registry import BackendRegistry
from .link_check import SAMPLE_SERVERS, CheckResult, LinkCheck
from .link_evidence import MIN_SUSPICIOUS_SERVERS, LinkEvidence

_MIN_TRIED = 2
"""Servers that a check has to try to tell this VM's links from a server."""

_RECOVERED_FRACTION = 0.5
"""Part of a sample that has to be reached for lost links to count as back."""

_TRIAL_INTERVAL_S = 0.2
"""Time between two checks of lost links, and between two looks for silence, in seconds."""

_SILENCE_LATENCIES = 3.0
"""Time without any answer that slow servers explain, as a multiple of the longest mean time of a
request at a server."""

_MAX_USUAL_SILENCE_S = 1.5
"""Limit on that time, in seconds, so that a loss shows within the shortest `Contact`."""

_SETTLE_S = 0.4
"""Longest time for which a request waits for a check in progress, in seconds."""

_CHECK_PAUSE_S = 0.5
"""Shortest time from the end of a check that found the links in order to the next one, in seconds.
"""


class ServerLinks:
    """State of this VM's links to backend servers.

    Args:
        registry: Backend servers.
        check: Checks the links.
        monotonic: Source of monotonic time, in seconds.
        events: Logs each change.

    Attributes:
        up: False while the links are lost.
        on_change: Called with `up` after each change.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        check: LinkCheck,
        *,
        monotonic: Callable[[], float],
        events: EventLog,
    ) -> None:
        self.registry = registry
        self.check = check
        self.monotonic = monotonic
        self.events = events
        self.up = True
        self.on_change: list[Callable[[bool], None]] = []
        self.evidence = LinkEvidence()
        self._changed_at = float("-inf")
        self._answered_at = float("-inf")
        self._lost_in_silence = False
        self._connected_at = float("-inf")
        self._checked_at = float("-inf")
        self._running: Optional[asyncio.Task[None]] = None
        self._check_started_at = float("-inf")
        self._check_connected = asyncio.Event()
        self._check_answered = asyncio.Event()
        check.on_connected = self._on_check_connected

    @property
    def checking(self) -> bool:
        """Whether a check is in progress."""
        return self._running is not None and not self._running.done()

    def record_connection(self, address: str) -> None:
        """Record that a new connection to a server at `IP:PORT` was established."""
        self._connected_at = self.monotonic()
        self.evidence.record_connection(address)

    def record_answer(self, address: str) -> None:
        """Record an answer of a server at `IP:PORT`."""
        self._answered_at = self.monotonic()
        self.evidence.record_answer(address)
        if self._connected_at >= self._check_started_at:
            self._check_answered.set()
        if self._lost_in_silence:
            self._change(True, CheckResult(tried=0, reached=0, refused=0, silent=0))

    def record_failure(self, address: str) -> None:
        """Record that a server could not be reached, or ended a connection without an answer."""
        self.evidence.record_failure(address)
        if self.evidence.suspicious:
            self._suspect()

    def lost_since(self, since: float) -> bool:
        """Return whether the links are lost, or were at some time since.

        Args:
            since: Monotonic time, in seconds.
        """
        return not self.up or self._changed_at >= since

    def contact_since(self, since: float) -> bool:
        """Return whether any server has answered since a monotonic time, in seconds."""
        return self._answered_at > since

    async def settled(self) -> bool:
        """Wait for the check in progress, `_SETTLE_S` at most; return whether the links work."""
        if self._running is not None and not self._running.done():
            await self._checked_or(self._check_answered, _SETTLE_S)
        return self.up

    async def confirmed(self, since: float) -> bool:
        """Return whether the links work, by a check unless a connection was established since.

        This tells whether a refusal is the server's: lost links would refuse each connection.

        Args:
            since: Monotonic time from which a connection proves it, in seconds.
        """
        if self.up and self._connected_at <= since:
            self._check_connected.clear()
            self._start_check(ask=False)
            await self._checked_or(self._check_connected, None)
            return self.up
        return await self.settled()

    async def run(self) -> None:
        """Check lost links, and look for silence, until cancelled."""
        while True:
            await asyncio.sleep(_TRIAL_INTERVAL_S)
            if not self.up:
                self._start_check()
            elif self._is_silent():
                self._suspect()

    async def _checked_or(self, event: asyncio.Event, timeout_s: Optional[float]) -> None:
        """Wait until the check in progress has ended, or an event has occurred.

        A request that is cancelled here does not cancel the check that others wait for.
        """
        assert self._running is not None
        occurred = asyncio.create_task(event.wait())
        try:
            await asyncio.wait(
                (self._running, occurred),
                timeout=timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            occurred.cancel()

    def _on_check_connected(self) -> None:
        self._connected_at = self.monotonic()
        self._check_connected.set()

    def _is_silent(self) -> bool:
        """Return whether several servers are silent and no server has answered since."""
        now = self.monotonic()
        if now - self._answered_at < _CHECK_PAUSE_S:
            return False
        silent = [s for s in self.registry.servers.values() if s.silent(now)]
        return len(silent) >= MIN_SUSPICIOUS_SERVERS

    def _suspect(self) -> None:
        if self.up and self.monotonic() - self._checked_at >= _CHECK_PAUSE_S:
            self._start_check()

    def _start_check(self, *, ask: bool = True) -> None:
        if not self.checking:
            self._check_started_at = self.monotonic()
            self._check_connected.clear()
            self._check_answered.clear()
            self._running = asyncio.create_task(self._run_check(ask))

    async def _run_check(self, ask: bool) -> None:
        enough = 1
        if not self.up and not self._lost_in_silence:
            enough = round(SAMPLE_SERVERS * _RECOVERED_FRACTION)
        result = await self.check.run(enough, ask=ask)
        if result.reached and not ask:
            return
        self._checked_at = self.monotonic()
        if result.reached:
            self._answered_at = self._checked_at
            self.evidence.forget()
        if self.up and self._shows_loss(result):
            self._change(False, result)
        elif not self.up and 0 < min(enough, result.tried) <= result.reached:
            self._change(True, result)

    def _shows_loss(self, result: CheckResult) -> bool:
        """Return whether the check in progress shows that the links are lost."""
        if result.tried < _MIN_TRIED or result.reached:
            return False
        return not result.silent or self._is_unusually_silent()

    def _is_unusually_silent(self) -> bool:
        """Return whether the time without any answer exceeds what slow servers explain.

        An answer during the check in progress proves the links.
        """
        if self.contact_since(self._check_started_at):
            return False
        usual_s = max((s.latency_s or 0.0 for s in self.registry.servers.values()), default=0.0)
        longest_s = min(_MAX_USUAL_SILENCE_S, _SILENCE_LATENCIES * usual_s)
        return self.monotonic() - self._answered_at > longest_s

    def _change(self, up: bool, result: CheckResult) -> None:
        self.up = up
        self._lost_in_silence = not up and result.silent > 0
        self._changed_at = self.monotonic()
        self.evidence.forget()
        if up:
            for server in self.registry.servers.values():
                server.backoff.forget_failures()
        self.events.state(
            "server-links",
            up=up,
            tried=result.tried,
            reached=result.reached,
            refused=result.refused,
        )
        for listener in self.on_change:
            listener(up)
