"""What a VM learns of a backend server, and of a request, from one attempt.

Owns which attempt tells what: load, latency, rest, outlier samples, the limit on cold servers, good
ends of suspects, what the server states. Relies on the registry, the outlier detector, the
quarantine and `statements`, which keep it.
`sender` gives it each attempt once it has ended. Shows in: event `server-rests`. Tests:
tests/test_gateway_pipeline.py, tests/test_gateway_outliers.py,
tests/test_gateway_taken_addresses.py.
"""

from collections.abc import Callable
from typing import Optional

from ..crashes.quarantine import Quarantine
from ..events import EventLog
from ..servers.backend_registry import BackendRegistry
from ..servers.backend_server import BackendServer
from ..servers.outliers import OutlierDetector
from ..statements.statement import LoadReport
from ..statements.statements import ServerAnswer, Statements
from .client_request import (
    ANSWERED,
    MISDIRECTED,
    NOT_OFFERED,
    QUARANTINED,
    RESTARTED,
    SHED,
    TIMED_OUT,
    Attempt,
    ClientRequest,
    Verdict,
)
from .outcome.retry_decision import SERVER_FAILED_STATUS

SHED_PAUSE_S = 0.05
"""Pause of a server that refused to run a request as it is full, or as it may be, in seconds. One
that refuses and reports free slots fails for another reason: less load would not help it, and its
pause sends objects to servers that do not know them."""

MISDIRECTED_PAUSE_S = 60.0
"""Pause of a server whose address now belongs to another server, in seconds."""


class AttemptFeedback:
    """Keeps what attempts tell.

    Args:
        registry: Backend servers.
        outliers: Gets every attempt at a warm server as a sample.
        quarantine: Gets the good ends of requests.
        statements: Takes in what servers state of themselves.
        monotonic: Source of time, in seconds.
        events: Logs when a server rests after a failure.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        outliers: OutlierDetector,
        quarantine: Quarantine,
        statements: Statements,
        monotonic: Callable[[], float],
        events: EventLog,
    ) -> None:
        self.registry = registry
        self.outliers = outliers
        self.quarantine = quarantine
        self.statements = statements
        self.monotonic = monotonic
        self.events = events

    def conclude(
        self, request: ClientRequest, server: BackendServer, attempt: Attempt, started: float
    ) -> None:
        """Keep what an attempt tells of its server."""
        now = self.monotonic()
        if attempt.why in (NOT_OFFERED, QUARANTINED):
            # No byte was sent: this tells nothing of the server and is no send to a cold one.
            server.cold_sends.take_back(started)
            return
        if attempt.why == RESTARTED:
            # The process that this tells of has ended; the next one starts with nothing.
            return
        stated = ServerAnswer(attempt.statement, started, request.id)
        self.statements.answered(server.backend, server.stated, stated, now)
        self._learn(request, server, attempt, started, now)
        if server.cold(started):
            self._note_cold(server, attempt)
        else:
            self._sample(server, attempt, request.key, now)

    def _note_cold(self, server: BackendServer, attempt: Attempt) -> None:
        """Note the end of an attempt at a cold server; it does not count as an outlier sample."""
        if attempt.verdict is Verdict.ANSWERED or attempt.why == TIMED_OUT:
            self.registry.cold_limit.record_attempt(
                server.backend.service, attempt.verdict is Verdict.ANSWERED
            )

    def _sample(self, server: BackendServer, attempt: Attempt, key: str, now: float) -> None:
        """Give the outlier detector the attempt as a sample of its server."""
        if attempt.verdict is Verdict.UNKNOWN:
            self.outliers.record_failure(server, now, late=attempt.why == TIMED_OUT)
        elif attempt.verdict is Verdict.ANSWERED and attempt.answer is not None:
            if attempt.answer.status >= SERVER_FAILED_STATUS:
                self.outliers.record_failure(server, now)
                return
            load = attempt.statement.load
            requests_there = load.running + load.waiting if load else 0
            self.outliers.record_success(server, key, attempt.seconds, requests_there, now)

    def _learn(
        self,
        request: ClientRequest,
        server: BackendServer,
        attempt: Attempt,
        started: float,
        now: float,
    ) -> None:
        load = attempt.statement.load
        if load is not None:
            self.registry.record_load(server, load.running, load.waiting, now)
        if attempt.verdict is Verdict.ANSWERED:
            if load is None:
                # Its refusals lower the limit, so its answers have to raise it again.
                server.limit.increase(server.backend.capacity)
            self.registry.record_success(server, attempt.seconds, now)
            if attempt.why == ANSWERED:
                # Not where the server has not run it: such an answer clears nobody.
                self.quarantine.note_good_end(request)
        elif attempt.why == MISDIRECTED:
            server.pause(now + MISDIRECTED_PAUSE_S)
        elif attempt.why.startswith(SHED):
            _note_shed(server, load, now)
        elif attempt.why != TIMED_OUT or server.answered_at < started:
            server.record_failure(now)
            self.events.state(
                "server-rests", server=server.backend.id, why=attempt.why, id=request.id
            )


def _note_shed(server: BackendServer, load: Optional[LoadReport], now: float) -> None:
    """Send less to a server that refused to run a request, unless it reports free slots."""
    if load is None or load.running + load.waiting >= server.backend.capacity:
        server.pause(now + SHED_PAUSE_S)
        server.limit.decrease(now)
