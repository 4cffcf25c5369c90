"""Processes what servers state of themselves, to this VM and in reports of other VMs.

Owns when a statement is logged and reported. A change is reported at once to all VMs, but at most
once in `_CHANGE_PAUSE_S` for a process. A statement that continues is reported once in `_REPEAT_S`,
to the VMs of this region and a few others. Only what a server itself stated to this VM is reported:
no report causes another one, and their number is bounded by the answers of servers that state
something. Relies on `stated_limit` for the decision and on `process_statements` for the rows.
Results show in the events `server-limit`, `server-leaving` and `server-asks-rest`, and in the
counter `server_rests_asked`. Tests: tests/test_gateway_statements.py.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

from ..events import EventLog
from ..resources import BackendEntry
from .process_statements import ProcessStatements, ServerProcessId, StatementTable
from .statement import ServerStatement
from .statement_report import MS_PER_S, StatementReport

_CHANGE_PAUSE_S = 0.2
"""Shortest time between two reports on the same process, in seconds."""

_REPEAT_S = 1.0
"""Shortest time between two reports of the same statement, in seconds: far shorter than the time
for which a report counts."""

_JITTER_FRACTION = 0.1
"""Fraction of a pause that is its largest jitter."""

_MAX_JITTER_S = 0.5
"""Largest jitter, in seconds."""

SendReport = Callable[[StatementReport, bool], None]
"""Sends a report: to all VMs if the flag is true, else to those of this region and a few more."""


class ServerAnswer(NamedTuple):
    """What one answer of a server states.

    Args:
        statement: What it states.
        started: Monotonic time at which its request began, in seconds.
        request_id: Id of that request.
    """

    statement: ServerStatement
    started: float
    request_id: str


class Statements:
    """Processes statements.

    Args:
        table: The known statements of all processes.
        send: Sends reports to other VMs.
        events: Logs changes.
        rng: Random source of the jitter that keeps VMs from returning to a server all at once.
    """

    def __init__(
        self, table: StatementTable, send: SendReport, events: EventLog, rng: random.Random
    ) -> None:
        self.table = table
        self.send = send
        self.events = events
        self.rng = rng

    def answered(
        self, backend: BackendEntry, stated: ProcessStatements, answer: ServerAnswer, now: float
    ) -> None:
        """Process an answer of a server.

        Args:
            backend: The server's entry.
            stated: The known statements of its process.
            answer: The answer.
            now: Monotonic time, in seconds.
        """
        if not answer.statement.by_server:
            return
        limit_per_s = answer.statement.limit_per_s
        changed = stated.limit.apply_answer(limit_per_s, answer.started, now)
        if changed:
            self.events.state(
                "server-limit", server=backend.id, per_s=limit_per_s, id=answer.request_id
            )
        if answer.statement.leaving and self.table.note_leaving(stated, now):
            changed = True
            self.events.state("server-leaving", server=backend.id, id=answer.request_id)
        self._start_pause(backend, stated, answer, now)
        if changed or limit_per_s is not None or answer.statement.leaving:
            stated.updated_at = now
            self._report(backend, stated, answer, now, changed=changed)

    def _start_pause(
        self, backend: BackendEntry, stated: ProcessStatements, answer: ServerAnswer, now: float
    ) -> None:
        """Start the pause that a server has asked of this VM; it has not asked the others."""
        pause_s = answer.statement.retry_after_s
        if pause_s is None:
            return
        self.events.count("server_rests_asked")
        stated.updated_at = now
        jitter_s = self.rng.uniform(0.0, min(_MAX_JITTER_S, _JITTER_FRACTION * pause_s))
        if stated.start_pause(pause_s + jitter_s, now):
            self.events.state(
                "server-asks-rest", server=backend.id, rest_s=pause_s, id=answer.request_id
            )

    def on_report(self, report: StatementReport, now: float) -> None:
        """Process a report of another VM.

        Args:
            report: The report.
            now: Monotonic time, in seconds.
        """
        stated = self.table.of(ServerProcessId(report.server, report.incarnation))
        stated.updated_at = now
        if report.leaving:
            self.table.note_leaving(stated, now)
        stated.limit.apply_report(report.limit_per_s, report.age_ms / MS_PER_S, now)

    def _report(
        self,
        backend: BackendEntry,
        stated: ProcessStatements,
        answer: ServerAnswer,
        now: float,
        *,
        changed: bool,
    ) -> None:
        if now - stated.reported_at < (_CHANGE_PAUSE_S if changed else _REPEAT_S):
            return
        stated.reported_at = now
        process = ServerProcessId.of(backend)
        limit_per_s = answer.statement.limit_per_s
        # The end of a limit is as old as the request whose answer stated none.
        age_s = 0.0 if limit_per_s is not None else now - answer.started
        report = StatementReport(
            process.server_id,
            process.incarnation,
            int(age_s * MS_PER_S),
            limit_per_s,
            stated.leaving_since is not None,
        )
        self.send(report, changed)
