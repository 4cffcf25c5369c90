"""Rule: in which order a VM stops, and how long each step may take.

Question: what a VM still does for callers between the order to stop and its kill. Owns the order of
the steps and their times (`stop_times`). Relies on the callers' application, the listeners and the
heartbeats for the steps.

Inputs: the grace time (setting `grace_s`, in seconds: from the order to stop until the process is
killed), requests in flight, connections not yet ended, monotonic time in seconds.

Rule: tell all VMs at once; go on serving callers that still hold this VM's address, each connection
ending with its next answer; then accept no more and wait until every connection has ended; give
what is still in flight its final answer shortly before the grace time ends. The
wait is for connections: to end with the last request in flight let 3,995,638 of 8,000,000 bytes of
an answer reach a caller that read slowly (docs/FINDINGS.md). It ends `_STOP_MARGIN_S` before the
grace time does, and what a caller has not read by the end of the process is cut off. `in_flight`
does not show that, as a request counts as over once its answer is in the connection's buffer.

Constants: `_LINGER_S`, `_STOP_MARGIN_S`, `_FINAL_ANSWERS_S`, `_STOP_POLL_S`. The result shows in
the events `stopping` and `stop`, each with `in_flight`. Tests: `test_gateway_shutdown`,
`test_process_gateway`, `test_formats_lines`.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from ..events import EventLog
from ..listeners import Listeners
from ..membership.heartbeats import Heartbeats
from ..requests.app import GatewayApp

_LINGER_S = 3.2
"""How long a stopping VM goes on serving callers that still hold its address, in seconds.

Callers hold an address for `membership.directory.LOOKUP_TTL_S` (1 s) at most, as the directory
tells them.
"""

_STOP_MARGIN_S = 0.7
"""Safety margin on the grace time, in seconds: for final answers and the end of the process."""

_FINAL_ANSWERS_S = 0.3
"""How long the final answers of requests that a stop gives up may take, in seconds.

A part of `_STOP_MARGIN_S`.
"""

_STOP_POLL_S = 0.05
"""Time between two looks at what a stop waits for, in seconds."""


class StopTimes(NamedTuple):
    """When each step of a stop ends at the latest, as monotonic times in seconds.

    Args:
        linger_until: Callers are served up to here.
        closed_by: Connections have ended, or what is in flight is given up.
        answered_by: Final answers of what was given up are out.
    """

    linger_until: float
    closed_by: float
    answered_by: float


def stop_times(now: float, grace_s: float) -> StopTimes:
    """Return the times of a stop.

    Args:
        now: Monotonic time of the order to stop, in seconds.
        grace_s: Time from the order until the process is killed, in seconds.
    """
    closed_by = now + grace_s - _STOP_MARGIN_S
    return StopTimes(min(closed_by, now + _LINGER_S), closed_by, closed_by + _FINAL_ANSWERS_S)


class Shutdown:
    """Stops one VM; answers that are read by `StopTimes.closed_by` are whole.

    Args:
        app: The callers' application.
        listeners: All listeners of the VM.
        heartbeats: Tell other VMs that this one accepts no callers.
        events: Takes the lines.
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

    async def run(self, grace_s: float) -> None:
        """Go through the steps of a stop.

        Args:
            grace_s: Time from now until the process is killed, in seconds.
        """
        times = stop_times(self.monotonic(), grace_s)
        self._announce()
        await self._until(lambda: False, times.linger_until)
        self.listeners.stop_accepting()
        await self._until(lambda: self.listeners.closed, times.closed_by)
        await self._give_up(times.answered_by)
        self.events.state("stop", in_flight=self.app.in_flight)

    def _announce(self) -> None:
        """Announce the stop: to callers by closing connections, to VMs by a heartbeat."""
        self.app.stop()
        self.events.state("stopping", in_flight=self.app.in_flight)
        self.heartbeats.announce()

    async def _give_up(self, end: float) -> None:
        """Give requests that are still in flight their final answer."""
        if self.app.in_flight:
            self.app.give_up_all()
            await self._until(lambda: self.app.in_flight == 0, end)

    async def _until(self, holds: Callable[[], bool], end: float) -> None:
        """Wait until something holds, at the longest until some monotonic time, in seconds."""
        while not holds() and self.monotonic() < end:
            await asyncio.sleep(_STOP_POLL_S)
