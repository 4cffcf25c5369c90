"""What this VM knows of the statements of backend servers' processes.

Owns one row for each process, which `statements` fills from answers and reports. A row outlives the
server's entry in the store: an entry that lapses, becomes unreadable or is written again is no
statement of the process and must not undo one. Another process under the same id has a row of its
own. Relies on `stated_limit`.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple, Optional

from ..resources import BackendEntry
from .stated_limit import StatedLimit

_ROW_KEPT_S = 600.0
"""Time for which a row is kept without an entry of its server, in seconds: far longer than a
leaving server continues to serve, or than an outage of the store lasts in which entries lapse."""


class ServerProcessId(NamedTuple):
    """Identifies one process of a server.

    Args:
        server_id: Id of the server.
        incarnation: Incarnation of the process; 0 if the server states none.
    """

    server_id: str
    incarnation: int

    @classmethod
    def of(cls, backend: BackendEntry) -> "ServerProcessId":
        """Return the id of an entry's process."""
        return cls(backend.id, backend.incarnation or 0)


class ProcessStatements:
    """The known statements of one process.

    Attributes:
        limit: The rate limit that it states.
        leaving_since: Monotonic time at which this VM learnt that it is leaving, in seconds; None
            before. Only another process under the id ends this.
        pause_until: Monotonic time at which the pause ends that it asked this VM for, in seconds.
            An answer to an earlier request does not end the pause.
        no_token_until: Monotonic time until which its quota has nothing for this VM, in seconds.
        reported_at: Monotonic time of this VM's last report on it, in seconds.
        updated_at: Monotonic time of the last statement or report on it, in seconds.
    """

    __slots__ = (
        "leaving_since",
        "limit",
        "no_token_until",
        "reported_at",
        "pause_until",
        "updated_at",
    )

    def __init__(self) -> None:
        self.limit = StatedLimit()
        self.leaving_since: Optional[float] = None
        self.pause_until = float("-inf")
        self.no_token_until = float("-inf")
        self.reported_at = float("-inf")
        self.updated_at = float("-inf")

    def is_limited(self, now: float) -> bool:
        """Return whether the process accepts only a limited rate of requests."""
        return self.limit.rate_per_s(now) is not None

    def has_statement(self, now: float) -> bool:
        """Return whether the process states that it is leaving, paused or limited."""
        return self.leaving_since is not None or self.pause_until > now or self.is_limited(now)

    def declines_until(self, now: float) -> Optional[float]:
        """Return until when the server accepts no requests from this VM, as it states itself.

        Args:
            now: Monotonic time, in seconds.

        Returns:
            Monotonic time, in seconds; None if it accepts requests.
        """
        until = self.pause_until
        if self.is_limited(now):
            until = max(until, self.no_token_until)
        return until if until > now else None

    def start_pause(self, pause_s: float, now: float) -> bool:
        """Start the pause that the process asks for; returns True if it was not paused before.

        The latest end holds: a shorter pause that is asked for meanwhile does not cut it.

        Args:
            pause_s: Length of the pause, in seconds.
            now: Monotonic time, in seconds.
        """
        was_paused = self.pause_until > now
        self.pause_until = max(self.pause_until, now + pause_s)
        return not was_paused


class StatementTable:
    """The rows of all processes.

    Args:
        on_leaving: Called when this VM learns that a process is leaving.
    """

    def __init__(self, on_leaving: Callable[[], None] = lambda: None) -> None:
        self.on_leaving = on_leaving
        self.rows: dict[ServerProcessId, ProcessStatements] = {}

    def of(self, process: ServerProcessId) -> ProcessStatements:
        """Return the row of a process; creates it if there is none."""
        return self.rows.setdefault(process, ProcessStatements())

    def note_leaving(self, stated: ProcessStatements, now: float) -> bool:
        """Record that a process is leaving; returns True if that is new.

        Args:
            stated: Its row.
            now: Monotonic time, in seconds.
        """
        if stated.leaving_since is not None:
            return False
        stated.leaving_since = now
        self.on_leaving()
        return True

    def forget_old(self, held: Collection[ServerProcessId], now: float) -> None:
        """Drop the rows of processes that have no entry and were not updated for long.

        Args:
            held: Processes that have entries.
            now: Monotonic time, in seconds.
        """
        self.rows = {
            process: stated
            for process, stated in self.rows.items()
            if process in held or now - stated.updated_at < _ROW_KEPT_S
        }
