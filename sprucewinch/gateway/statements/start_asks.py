"""Asks other VMs after a start what servers have stated, and answers VMs that have just started.

Owns the message `StatementsRequest` and when it is sent: as soon as other VMs are known, to
`_ASKED_VMS` random VMs of the region every `_ASK_PAUSE_S`, until one has answered that has not
just started itself, or `_MAX_ASKING_S` have passed. Without it, a VM that starts would send
limited, paused and leaving servers one request each to learn their state. Relies on
`process_statements` for the rows and on `follow_role` for the VMs. Tests:
tests/test_gateway_statements.py.
"""

import asyncio
from collections.abc import Callable

import msgspec

from ..datagrams import Datagrams
from ..following.follow_role import FollowRole
from ..resources import Member
from ..timing import Timing
from .process_statements import ProcessStatements, ServerProcessId, StatementTable
from .statement_report import MS_PER_S, StatementReport

_ASKED_VMS = 3
"""VMs that are asked at once: one may be down, and one may have just started itself."""

_ASK_PAUSE_S = 0.2
"""Time between two asks, in seconds; an answer takes a tenth of it."""

_LOAD_POLL_INTERVAL_S = 0.02
"""Pause between two checks whether other VMs are known, in seconds."""

_MAX_ASKING_S = 3.0
"""Time after the start for which a VM asks, in seconds."""

_NO_LIMIT_AGE_S = 600.0
"""Age of a report without a limit, in seconds: so old that it ends no limit."""

_MAX_REPORTS = 64
"""Maximum number of reports in answer to one ask; few servers state something at a time."""


class StatementsRequest(msgspec.Struct, array_like=True, frozen=True, tag="stated-ask"):
    """Asks what servers have stated, after a start; its tag on the wire is `stated-ask`."""


class StatementsEnd(msgspec.Struct, array_like=True, frozen=True, tag="stated-end"):
    """Ends the answer to `StatementsRequest`; its tag on the wire is `stated-end`."""


class StartAsks:
    """Asks other VMs after a start, and answers their asks.

    Args:
        table: The known statements of all processes.
        datagrams: The endpoint between VMs.
        follow_role: Knows this VM's region and the registered VMs.
        timing: Sources of time and randomness.
        learnt: Returns whether a VM has answered that has not just started itself.

    Attributes:
        on_asked: Called with the address of a VM that asks, and the monotonic time, in seconds.
    """

    def __init__(
        self,
        table: StatementTable,
        datagrams: Datagrams,
        follow_role: FollowRole,
        timing: Timing,
        *,
        learnt: Callable[[], bool],
    ) -> None:
        self.table = table
        self.datagrams = datagrams
        self.follow_role = follow_role
        self.timing = timing
        self.learnt = learnt
        self.until = timing.monotonic() + _MAX_ASKING_S
        self.on_asked: list[Callable[[str, float], None]] = []
        self._answered = asyncio.Event()
        datagrams.register(StatementsRequest, self._on_ask)
        datagrams.register(StatementsEnd, self._on_end)

    async def run(self) -> None:
        """Ask until a VM has answered or the time has passed, then wait to be cancelled."""
        while self.timing.monotonic() < self.until and not (
            self._answered.is_set() and self.learnt()
        ):
            asked = self._vms_to_ask()
            self.datagrams.send(StatementsRequest(), [member.peer_address for member in asked])
            await asyncio.sleep(_ASK_PAUSE_S if asked else _LOAD_POLL_INTERVAL_S)
        await asyncio.Event().wait()

    def _vms_to_ask(self) -> list[Member]:
        """Return random VMs of the region, or of others if the region has too few."""
        members = [
            member
            for member in self.follow_role.store_view.members.values()
            if member.name != self.follow_role.name
        ]
        self.timing.rng.shuffle(members)
        members.sort(key=lambda member: member.region != self.follow_role.region)
        return members[:_ASKED_VMS]

    def _on_ask(self, _ask: StatementsRequest, now: float) -> None:
        sender = self.datagrams.last_sender
        if sender is None:
            return
        rows = [
            (process, stated)
            for process, stated in self.table.rows.items()
            if stated.has_statement(now)
        ]
        for process, stated in rows[-_MAX_REPORTS:]:
            self.datagrams.send(_report(process, stated, now), (sender,))
        for listener in self.on_asked:
            listener(sender, now)
        self.datagrams.send(StatementsEnd(), (sender,))

    def _on_end(self, _end: StatementsEnd, _now: float) -> None:
        self._answered.set()


def _report(process: ServerProcessId, stated: ProcessStatements, now: float) -> StatementReport:
    """Return a report on a process; the age of a limit is that of the server's own statement."""
    limit = stated.limit
    limit_per_s = limit.per_s if limit.is_stated(now) else None
    age_s = now - limit.stated_at if limit_per_s is not None else _NO_LIMIT_AGE_S
    return StatementReport(
        process.server_id,
        process.incarnation,
        int(age_s * MS_PER_S),
        limit_per_s,
        stated.leaving_since is not None,
    )
