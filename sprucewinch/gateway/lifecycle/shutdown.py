"""Stops a VM gracefully: the order of the steps and the time for each.

Owns what a VM still does for callers between the signal to stop and the end of the process, and the
deadlines of the steps (`stop_times`). Relies on the callers' application, the listeners and the
heartbeats for the steps. Its inputs are the grace period (setting `grace_s`, in seconds: the time
from the signal to stop until the process is killed), the requests in flight, the open connections
and monotonic time in seconds. All times count from the signal, not from when the event loop gets
round to it, as the platform's do.

The VM first announces the stop to all VMs. It goes on serving callers that still have its address
cached, and closes each connection after the last of its requests that have begun
(`net.connection_turn`): a request that was passed on is not cut by the answer before it. What is
not whole by `_LATE_AFTER_S` and may not be answered before the process ends is refused at once;
`requests.outcome.process_end` decides that whenever a request is about to be sent. Then the VM
accepts no more connections and waits until all have ended. Requests that are still in flight
shortly before the grace period ends get a final answer.

The wait is for connections and not for requests: when it ended with the last request in flight,
only 3,995,638 of the 8,000,000 bytes of an answer reached a caller that read slowly
(docs/FINDINGS.md). The count `in_flight` shows this only in part, as a request is complete once the
last of its answer is in the connection's buffer. The wait ends with `StopTimes.answered_by`, and
whatever a caller has not read when the process ends is cut off.

The constants are `_LATE_AFTER_S`, `_STOP_ACCEPTING_AFTER_S`, `_STOP_MARGIN_S`,
`_MAX_MARGIN_FRACTION`, `_FINAL_ANSWERS_FRACTION` and `_POLL_INTERVAL_S`. The events `stopping` and
`stop`, each with `in_flight`, report a stop. Tests: `test_gateway_shutdown`,
`test_gateway_stop_losses`, `test_process_gateway`, `test_formats_lines`.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple, Optional

from ..events import EventLog
from ..listeners import Listeners
from ..membership.heartbeats import Heartbeats
from ..requests.app import GatewayApp

_LATE_AFTER_S = 2.9
"""Time from the signal to stop until a request must be whole, unless it ends before the process, in
seconds.

Callers that have the address cached seldom send later, and a request that is broken off may run
without its caller being told. The platform allows 3 s; the rest is for the way of signal and bytes.
"""

_STOP_ACCEPTING_AFTER_S = 3.2
"""Time from the signal to stop until new connections are refused, in seconds.

It serves callers that have the VM's address cached; the directory tells them to cache it for at
most `membership.directory.MAX_LOOKUP_TTL_S` (1 s).
"""

_STOP_MARGIN_S = 0.5
"""Longest part of the grace period kept for final answers and the end of the process, in seconds.
"""

_MAX_MARGIN_FRACTION = 0.15
"""The same as a fraction of the grace period. The platform allows a stop to break off only what a
server works on in the last sixth of it."""

_FINAL_ANSWERS_FRACTION = 0.6
"""Fraction of the margin for the final answers to requests that a stop cancels, and for callers
that still read."""

_POLL_INTERVAL_S = 0.05
"""Time between two checks of the condition that a stop waits for, in seconds."""


class StopTimes(NamedTuple):
    """Deadlines of the steps of a stop, as monotonic times in seconds.

    Args:
        late_from: A request that is not whole by then is refused if it may be held beyond
            `closed_by`.
        accept_until: Until then, new connections are accepted.
        closed_by: By then, all connections have ended, or the requests in flight are cancelled.
        answered_by: By then, all answers have been read, or they are cut off.
    """

    late_from: float
    accept_until: float
    closed_by: float
    answered_by: float


def stop_times(now: float, grace_s: float) -> StopTimes:
    """Return the deadlines of a stop.

    Args:
        now: Monotonic time of the signal to stop, in seconds.
        grace_s: Time from the signal until the process is killed, in seconds.
    """
    margin_s = min(_STOP_MARGIN_S, grace_s * _MAX_MARGIN_FRACTION)
    closed_by = now + grace_s - margin_s
    return StopTimes(
        min(closed_by, now + _LATE_AFTER_S),
        min(closed_by, now + _STOP_ACCEPTING_AFTER_S),
        closed_by,
        closed_by + margin_s * _FINAL_ANSWERS_FRACTION,
    )


class Shutdown:
    """Stops one VM; answers that callers have read by `StopTimes.answered_by` are complete.

    Args:
        app: The callers' application.
        listeners: All listeners of the VM.
        heartbeats: Tell other VMs that this one accepts no more callers.
        events: Receives the events.
        monotonic: Source of time, in seconds.
    """

    def __init__(
        self,
        app: GatewayApp,
        listeners: Listeners,
        heartbeats: Heartbeats,
        events: EventLog,
        *,
        monotonic: Callable[[], float],
    ) -> None:
        self.app = app
        self.listeners = listeners
        self.heartbeats = heartbeats
        self.events = events
        self.monotonic = monotonic

    async def run(self, grace_s: float, signalled_at: Optional[float] = None) -> None:
        """Run the steps of a stop.

        Args:
            grace_s: Time from the signal until the process is killed, in seconds.
            signalled_at: Monotonic time of the signal, in seconds; None for now.
        """
        now = self.monotonic()
        began = now if signalled_at is None else signalled_at
        times = stop_times(began, grace_s)
        self.app.process_end.begin(began, now, late_from=times.late_from, ends_at=times.closed_by)
        self._announce()
        await self._wait_until(lambda: False, times.late_from)
        self.app.refuse_late_bodies()
        await self._wait_until(lambda: False, times.accept_until)
        self.listeners.stop_accepting()
        await self._wait_until(lambda: self.listeners.closed, times.closed_by)
        self._cancel_requests()
        await self._wait_until(lambda: self.listeners.closed, times.answered_by)
        self.events.state("stop", in_flight=self.app.in_flight)

    def _announce(self) -> None:
        """Announce the stop: to callers by closing connections, to other VMs by a heartbeat."""
        self.app.stop()
        self.events.state("stopping", in_flight=self.app.in_flight)
        self.heartbeats.announce()

    def _cancel_requests(self) -> None:
        """Give the requests that are still in flight their final answers."""
        if self.app.in_flight:
            self.app.abort_all()

    async def _wait_until(self, condition: Callable[[], bool], deadline: float) -> None:
        """Wait until a condition holds or a deadline passes, a monotonic time in seconds."""
        while not condition() and (left_s := deadline - self.monotonic()) > 0:
            await asyncio.sleep(min(_POLL_INTERVAL_S, left_s))
