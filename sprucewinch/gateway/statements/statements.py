"""Takes in what servers state of themselves, here and as other VMs report it.

Owns when a statement is logged and reported: a change at once to all VMs, but at most once in
`_CHANGE_PAUSE_S` for a process; what goes on being stated once in `_REPEAT_S`, to the VMs of this
region and a few others. Only what the server itself told this VM is reported, so no report feeds
another one, and their number is bounded by the answers of servers that state something. Relies on
`stated_limit` for the decision and on `process_statements` for the rows. Shows in: events
`server-limit`, `server-leaving`, `server-asks-rest`; counter `server_rests_asked`. Tests:
tests/test_gateway_statements.py.
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
"""Least time between two reports on the same process, in seconds."""

_REPEAT_S = 1.0
"""Least time between two reports that say the same, in seconds: far less than the time for which
they count."""

_SPREAD_PART = 0.1
"""Part of a rest by which VMs come back later than it ends, at the most."""

_MOST_SPREAD_S = 0.5
"""Longest time by which they come back later, in seconds."""

SendReport = Callable[[StatementReport, bool], None]
"""Sends a report; to all VMs when true, else to this region's and a few more."""


class ServerAnswer(NamedTuple):
    """One answer of a server, as far as it states something.

    Args:
        statement: What it states.
        started: Monotonic time at which its request began, in seconds.
        request_id: Id of that request.
    """

    statement: ServerStatement
    started: float
    request_id: str


class Statements:
    """Takes in statements.

    Args:
        table: What each process has stated.
        send: Sends reports to other VMs.
        events: Takes lines for changes.
        rng: Spreads the ends of rests, so that VMs do not come back together.
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
        """Take in an answer of a server.

        Args:
            backend: The server's entry.
            stated: What its process has stated.
            answer: The answer.
            now: Monotonic time, in seconds.
        """
        if not answer.statement.by_server:
            return
        limit_per_s = answer.statement.limit_per_s
        changed = stated.limit.answered(limit_per_s, answer.started, now)
        if changed:
            self.events.state(
                "server-limit", server=backend.id, per_s=limit_per_s, id=answer.request_id
            )
        if answer.statement.leaving and self.table.note_leaving(stated, now):
            changed = True
            self.events.state("server-leaving", server=backend.id, id=answer.request_id)
        self._rest(backend, stated, answer, now)
        if changed or limit_per_s is not None or answer.statement.leaving:
            stated.touched_at = now
            self._report(backend, stated, answer, now, changed=changed)

    def _rest(
        self, backend: BackendEntry, stated: ProcessStatements, answer: ServerAnswer, now: float
    ) -> None:
        """Let a server rest that has asked this VM for it; it has not asked the others."""
        rest_s = answer.statement.rest_s
        if rest_s is None:
            return
        self.events.count("server_rests_asked")
        stated.touched_at = now
        spread_s = self.rng.uniform(0.0, min(_MOST_SPREAD_S, _SPREAD_PART * rest_s))
        if stated.ask_rest(rest_s + spread_s, now):
            self.events.state(
                "server-asks-rest", server=backend.id, rest_s=rest_s, id=answer.request_id
            )

    def on_report(self, report: StatementReport, now: float) -> None:
        """Take in what another VM was told.

        Args:
            report: The message.
            now: Monotonic time, in seconds.
        """
        stated = self.table.of(ServerProcessId(report.server, report.incarnation))
        stated.touched_at = now
        if report.leaving:
            self.table.note_leaving(stated, now)
        stated.limit.reported(report.limit_per_s, report.age_ms / MS_PER_S, now)

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
