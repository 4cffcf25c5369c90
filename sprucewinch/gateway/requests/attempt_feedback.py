"""Records what one attempt shows about its backend server and its request.

The module decides which attempt updates what: load, pace, latency, usual work, back-off, outlier
samples, the limit on cold servers, requests that completed without a crash, and the server's own
statements. It relies on the registry, the outlier detector, the quarantine and `statements`, which
store these. `sender` passes it each attempt once that has ended. It logs the event `server-rests`.
An attempt without an answer says nothing of its server while this VM's own links are lost or in
doubt (`servers.links`); until that is known, its sample is held back.
The tests are in tests/test_gateway_pipeline.py, tests/test_gateway_outliers.py and
tests/test_gateway_taken_addresses.py.
"""

from collections.abc import Callable
from typing import Optional

from ..crashes.quarantine import Quarantine
from ..events import EventLog
from ..servers.backend_registry import BackendRegistry
from ..servers.backend_server import BackendServer
from ..servers.links.held_failures import HeldFailures
from ..servers.links.server_links import ServerLinks
from ..servers.outliers import OutlierDetector
from ..statements.load_report import LoadReport
from ..statements.statements import ServerAnswer, Statements
from .client_request import (
    ANSWERED,
    ENDED,
    MISDIRECTED,
    NOT_OFFERED,
    QUARANTINED,
    RESTARTED,
    SHED,
    STOPPING,
    TIMED_OUT,
    Attempt,
    ClientRequest,
    Verdict,
)
from .outcome.retry_decision import SERVER_FAILED_STATUS

SHED_PAUSE_S = 0.05
"""Pause of a server that refused to run a request because it is full, or may be. A server that
refuses but reports free slots has another fault: less load would not help it, and a pause would
send its objects to servers that do not keep them warm."""

MISDIRECTED_PAUSE_S = 60.0
"""Pause of a server whose address now belongs to another server."""


class AttemptFeedback:
    """Records what attempts show about servers and requests.

    Args:
        registry: Backend servers.
        outliers: Detector that gets every attempt at a warm server as a sample.
        quarantine: Is told which requests completed without a crash.
        statements: Stores what servers state about themselves.
        monotonic: Source of monotonic time, in seconds.
        events: Logs when a server is backed off after a failure.
        links: State of this VM's links to backend servers.
    """

    def __init__(
        self,
        registry: BackendRegistry,
        outliers: OutlierDetector,
        quarantine: Quarantine,
        statements: Statements,
        monotonic: Callable[[], float],
        events: EventLog,
        links: ServerLinks,
    ) -> None:
        self.registry = registry
        self.links = links
        self.held_failures = HeldFailures(links, outliers, events)
        self.outliers = outliers
        self.quarantine = quarantine
        self.statements = statements
        self.monotonic = monotonic
        self.events = events

    def record(
        self, request: ClientRequest, server: BackendServer, attempt: Attempt, started: float
    ) -> None:
        """Record what a completed attempt shows about its server and its request.

        Args:
            request: The request.
            server: The server that it was sent to.
            attempt: The attempt.
            started: Monotonic time at which the attempt started, in seconds.
        """
        now = self.monotonic()
        if attempt.cause in (NOT_OFFERED, QUARANTINED, STOPPING):
            # No byte was sent, so the attempt shows nothing about the server, and it does not count
            # as a request sent to a cold one.
            server.cold_sends.remove(started)
            return
        if attempt.cause == RESTARTED:
            # The attempt belongs to a process that has ended; its successor starts without history.
            return
        self._update_links(server, attempt, started)
        if attempt.statement.load_unreadable:
            self.events.count("load_reports_unreadable")
        stated = ServerAnswer(attempt.statement, started, request.id)
        self.statements.answered(server.backend, server.stated, stated, now)
        self._update_server(request, server, attempt, started, now)
        if server.cold(started):
            self._record_cold_attempt(server, attempt)
        else:
            self._record_sample(request, server, attempt, started)

    def _update_links(self, server: BackendServer, attempt: Attempt, started: float) -> None:
        """Record what an attempt shows about this VM's links; the pool records connections.

        A time-out alone is no failure: the work may take long.
        """
        timed_out = attempt.cause == TIMED_OUT
        if attempt.answer is not None:
            self.links.record_answer(server.backend.address)
        elif attempt.cause == ENDED or (timed_out and not self.links.contact_since(started)):
            self.links.record_failure(server.backend.address)

    def record_superseded(self, server: BackendServer) -> None:
        """Record an attempt that ran unusually long and was ended, as another server answered.

        It counts as a sample of a slow server. The server is not backed off: one request in some
        takes long at any server.

        Args:
            server: The server that ran it.
        """
        self.outliers.record_failure(server, self.monotonic(), late=True)

    def _record_cold_attempt(self, server: BackendServer, attempt: Attempt) -> None:
        """Record an attempt at a cold server; it does not count as an outlier sample."""
        if attempt.verdict is Verdict.ANSWERED or attempt.cause == TIMED_OUT:
            self.registry.cold_limit.record_attempt(
                server.backend.service, attempt.verdict is Verdict.ANSWERED
            )

    def _record_sample(
        self, request: ClientRequest, server: BackendServer, attempt: Attempt, started: float
    ) -> None:
        """Record the attempt as a sample of its server and of the usual work."""
        now = self.monotonic()
        if attempt.verdict is Verdict.UNKNOWN and attempt.answer is None:
            self.held_failures.add(server, started, now, late=attempt.cause == TIMED_OUT)
        elif attempt.verdict is Verdict.UNKNOWN:
            self.outliers.record_failure(server, now)
        elif attempt.verdict is Verdict.ANSWERED and attempt.answer is not None:
            if attempt.answer.status >= SERVER_FAILED_STATUS:
                self.outliers.record_failure(server, now)
                return
            load = attempt.statement.load
            held, pace = (load.held, load.pace) if load else (0, None)
            self.outliers.record_success(server, request.key, attempt.seconds, held, now, pace)
            if request.route_name and attempt.cause == ANSWERED:
                self.registry.record_work(server, request.route_name, attempt.seconds, load)

    def _update_server(
        self,
        request: ClientRequest,
        server: BackendServer,
        attempt: Attempt,
        started: float,
        now: float,
    ) -> None:
        load = attempt.statement.load
        if load is not None:
            self.registry.record_load(server, load.running, load.waiting, now, load.pace)
        if attempt.verdict is Verdict.ANSWERED:
            if load is None:
                # The server reports no load: its refusals lower the concurrency limit, so its
                # answers have to raise it again.
                server.limit.increase(server.backend.capacity)
            self.registry.record_success(server, attempt.seconds, now)
            if attempt.cause == ANSWERED:
                # An answer to a request that the server did not run does not clear the request.
                self.quarantine.record_success(request)
        elif attempt.cause == MISDIRECTED:
            server.pause(now + MISDIRECTED_PAUSE_S)
        elif attempt.cause.startswith(SHED):
            _pause_full_server(server, load, now)
        elif attempt.cause != TIMED_OUT or server.answered_at < started:
            self._back_off(request, server, attempt, started)

    def _back_off(
        self, request: ClientRequest, server: BackendServer, attempt: Attempt, started: float
    ) -> None:
        """Back a server off after a failure; one that lost links may explain ends with them."""
        if attempt.answer is None and self.links.lost_since(started):
            if not self.links.up:
                server.record_failure(self.monotonic())
            return
        server.record_failure(self.monotonic())
        self.events.state(
            "server-rests", server=server.backend.id, why=attempt.cause, id=request.id
        )


def _pause_full_server(server: BackendServer, load: Optional[LoadReport], now: float) -> None:
    """Pause a server that refused to run a request, unless it reports free slots."""
    if load is None or load.held >= server.backend.capacity:
        server.pause(now + SHED_PAUSE_S)
        server.limit.decrease(now)
