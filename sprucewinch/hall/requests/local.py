"""The filter that runs a request on the backend servers of this VM's own data hall.

Takes a slot (`admission`) or waits for one (`_slot_wait`), sends the request (`backend`) and
records the result in the state of the server. Retries on another server as long as `retry_rule`
allows it. Owns the number of attempts; the admission owns the state of the servers.
"""

from typing import Union

from ...clock import Clock
from ...net.outcome import Reason, Refusal, not_run
from ...net.request import Request, Responder
from ..node import LEAVING_REPORT_TTL_S, Node
from ._slot_wait import wait_for_slot
from .admission import Admission, Slot
from .backend import Attempt, BackendClient
from .retry_rule import RetryRule

_MAX_ATTEMPTS = 3
"""Maximum number of backend servers of this hall that one request is sent to."""


class LocalHall:
    """Runs requests on the backend servers of this hall.

    Args:
        node: This VM's state.
        backend: Sends requests to backend servers.
        clock: Source of time.
        retries: Decides on retries.
    """

    def __init__(
        self, node: Node, backend: BackendClient, clock: Clock, retries: RetryRule
    ) -> None:
        self.node = node
        self.backend = backend
        self.clock = clock
        self.retries = retries

    async def run(self, request: Request, responder: Responder) -> Attempt:
        """Run a request in this hall.

        Returns:
            The result of the last attempt; its refusal is `NOT_RUN` only when that is certain.

        Raises:
            BrokenAnswerError: When an answer broke off after its start was passed on.
        """
        admission = self.node.admissions.find(request.service)
        if admission is None:
            return Attempt(not_run(Reason.NO_BACKEND_SERVER))
        attempt = Attempt(not_run(Reason.NO_ROOM))
        for _ in range(_MAX_ATTEMPTS):
            slot = await self._acquire_or_wait(admission, request)
            if isinstance(slot, Refusal):
                return attempt if request.tried else Attempt(slot)
            attempt = await self._send(admission, slot, request, responder)
            if attempt.refusal is None or not self.retries.allowed(attempt, request):
                return attempt
        return attempt

    async def _acquire_or_wait(
        self, admission: Admission, request: Request
    ) -> Union[Slot, Refusal]:
        now = self.clock.monotonic()
        if request.deadline <= now:
            return not_run(Reason.DEADLINE_PASSED)
        acquired = admission.acquire(now, frozenset(request.tried))
        if isinstance(acquired, Slot) or request.tried or acquired.reason is not Reason.NO_ROOM:
            return acquired
        return await wait_for_slot(admission, self._wait_limit_s(request, now), self.clock)

    def _wait_limit_s(self, request: Request, now: float) -> float:
        topology = self.node.topology
        service = topology.services.get(request.service) if topology else None
        max_wait_s = service.max_wait_ms / 1000 if service else 0.0
        return min(max_wait_s, request.deadline - now)

    async def _send(
        self, admission: Admission, slot: Slot, request: Request, responder: Responder
    ) -> Attempt:
        server = slot.server
        started_at = self.clock.monotonic()
        request.tried.add(server.address)
        try:
            attempt = await self.backend.run(request, server.address, responder, started_at)
        finally:
            admission.release(slot, self.clock.monotonic())
        now = self.clock.monotonic()
        self._record(admission, slot, attempt, now, started_at)
        return attempt

    def _record(
        self, admission: Admission, slot: Slot, attempt: Attempt, now: float, started_at: float
    ) -> None:
        server = slot.server
        if attempt.leaving:
            admission.mark_leaving(server.address, now + LEAVING_REPORT_TTL_S)
        if attempt.shed:
            server.mark_shed(now)
            self.node.metrics.counters["shed"] += 1
        elif attempt.refusal is None:
            server.record_latency((now - started_at) * 1000)
        elif not attempt.leaving and attempt.refusal.reason is Reason.BACKEND_FAILED:
            server.mark_failed(now)
