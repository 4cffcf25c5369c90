"""What the checks read: the ledger of a day, and the runs at its backend servers.

Owns the runs by request, the fault-free time after which time bounds apply, and the bounds that
several checks share.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from standins.scripted_server import ScriptedServer, Spoil

from ..backend_servers import SoakServer
from ..configuration import COLD_PER_S, KEY_START
from ..ledger import Attempt, Ledger

CONTACT_S = 3.0
"""Seconds without a fault until time bounds apply. Bound `Contact` of the platform's example."""

OUTER_S = 5.0
"""Seconds by which a fault of the store extends bounds. Bound `Outer` of the same example."""

GRACE_S = 6.0
"""Seconds from SIGTERM to the kill. Bound `Grace` of the platform's example."""

SLACK_S = 0.4
"""Seconds added to bounds, since the soak may read its own clock late."""


_WORKSPACE_HEADER = "x-tenant-name"
"""Header that names a request's workspace."""


class Seen(NamedTuple):
    """One run of a request at a backend server.

    Args:
        server_id: Id of the server.
        service: Service of the server.
        at: Begin of the run, as monotonic time in seconds.
        workspace: Workspace that the request named to the server; empty for none.
        key_shown: True when an API key reached the server.
        lost: True when the server lost the answer, or broke it off.
        answered_at: When the server answered; infinite if it never did.
        broke_off_at: When the server or its link ended connections.
    """

    server_id: str
    service: str
    at: float
    workspace: str = ""
    key_shown: bool = False
    lost: bool = False
    answered_at: float = math.inf
    broke_off_at: tuple[float, ...] = ()

    def at_work(self, at: float) -> bool:
        """Return whether the server was at work on the request.

        It is not counted when the server or its link ended connections since `CONTACT_S` before.
        """
        broke_off = any(self.at - CONTACT_S <= broke <= at for broke in self.broke_off_at)
        return self.at <= at < self.answered_at and not broke_off


class Evidence(NamedTuple):
    """Everything known about a day at its end.

    Args:
        ledger: Record of the day.
        runs: Runs at backend servers, by request id, for those that ran.
        ended_at: End of the day, as monotonic time in seconds.
        stand_ins: All backend servers of the day, with their own records.
        servers: The same with their services.
        cold_per_s: Requests a second that a cold backend server may get.
    """

    ledger: Ledger
    runs: Mapping[str, list[Seen]]
    ended_at: float
    stand_ins: tuple[ScriptedServer, ...] = ()
    servers: tuple[SoakServer, ...] = ()
    cold_per_s: float = COLD_PER_S

    def runs_of(self, attempt: Attempt) -> list[Seen]:
        """Return the runs of an attempt's request."""
        return self.runs.get(attempt.request_id, [])

    def in_touch(self, vm: str, since: float, until: float) -> bool:
        """Return whether no trouble affected an entry VM or the store in a span or shortly before.

        Args:
            vm: Name of the entry VM.
            since: Start of the span, as monotonic time in seconds.
            until: End of the span, likewise.
        """
        return self.ledger.undisturbed(vm, since - CONTACT_S - OUTER_S, until)

    def without_faults(self, vm: str, since: float, until: float) -> bool:
        """Return whether only planned work affected an entry VM itself; the store may fail."""
        return self.ledger.vm_without_faults(vm, since - CONTACT_S, until)


def gather_runs(servers: Iterable[SoakServer]) -> dict[str, list[Seen]]:
    """Return the runs at backend servers, by request id."""
    runs: dict[str, list[Seen]] = defaultdict(list)
    for server in servers:
        answers = {each.request_id: each.at for each in server.stand_in.answered}
        broke_off_at = (*server.relay.broke_at, *server.stand_in.reset_at) if server.relay else ()
        for run in server.stand_in.runs:
            workspace = run.headers.get(_WORKSPACE_HEADER, "")
            shown = any(KEY_START in value for value in run.headers.values())
            stand_in = server.stand_in
            lost = stand_in.spoilt.get(run.request_id) in (Spoil.LOST, Spoil.CUT)
            seen = Seen(
                stand_in.server_id,
                server.service,
                run.at,
                workspace,
                shown,
                lost,
                answers.get(run.request_id, math.inf),
                broke_off_at,
            )
            runs[run.request_id].append(seen)
    return dict(runs)
