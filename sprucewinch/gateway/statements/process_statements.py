"""What this VM was told of processes of backend servers, by them and by other VMs.

Owns one row a process, which outlasts the server's entry in the store: an entry that lapses, is
spoilt or written again is no word of the process and must not undo one. Another process under the
same id has a row of its own. Relies on `stated_limit`; the rows are filled by `statements`.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple, Optional

from ..resources import BackendEntry
from .stated_limit import StatedLimit

_KEPT_S = 600.0
"""Time for which a row is kept of a server that has no entry, in seconds: far longer than a server
that leaves serves on, or than an outage of the store lasts in which its entry lapses."""


class ServerProcessId(NamedTuple):
    """Names one process of a server.

    Args:
        server_id: Id of the server.
        incarnation: Which process it is, where the server states it; else 0.
    """

    server_id: str
    incarnation: int

    @classmethod
    def of(cls, backend: BackendEntry) -> "ServerProcessId":
        """Return the process of an entry."""
        return cls(backend.id, backend.incarnation or 0)


class ProcessStatements:
    """What was told of one process.

    Attributes:
        limit: The limit that it states.
        leaving_since: Monotonic time at which it was first told that it leaves, in seconds; None
            while it was not. Nothing ends it but another process.
        rest_until: Monotonic time until which it wants nothing from this VM, in seconds. An answer
            to an earlier request does not end that.
        no_token_until: Monotonic time until which its quota has nothing for this VM, in seconds.
        reported_at: Monotonic time of this VM's last report on it, in seconds.
        touched_at: Monotonic time at which anything was last told, in seconds.
    """

    __slots__ = (
        "leaving_since",
        "limit",
        "no_token_until",
        "reported_at",
        "rest_until",
        "touched_at",
    )

    def __init__(self) -> None:
        self.limit = StatedLimit()
        self.leaving_since: Optional[float] = None
        self.rest_until = float("-inf")
        self.no_token_until = float("-inf")
        self.reported_at = float("-inf")
        self.touched_at = float("-inf")

    def is_limited(self, now: float) -> bool:
        """Return whether the process takes only some requests a second."""
        return self.limit.rate_per_s(now) is not None

    def states_something(self, now: float) -> bool:
        """Return whether the process leaves, rests or is limited, by its own word."""
        return self.leaving_since is not None or self.rest_until > now or self.is_limited(now)

    def refused_until(self, now: float) -> Optional[float]:
        """Return until when the server takes nothing from this VM, by its own word.

        Args:
            now: Monotonic time, in seconds.

        Returns:
            Monotonic time, in seconds; None when it takes requests.
        """
        until = self.rest_until
        if self.is_limited(now):
            until = max(until, self.no_token_until)
        return until if until > now else None

    def ask_rest(self, rest_s: float, now: float) -> bool:
        """Rest as the process has asked; returns True when it did not rest before.

        A later end holds, a shorter rest that is asked for meanwhile does not cut it.

        Args:
            rest_s: Time of the rest, in seconds.
            now: Monotonic time, in seconds.
        """
        rested = self.rest_until > now
        self.rest_until = max(self.rest_until, now + rest_s)
        return not rested


class StatementTable:
    """The rows of all processes.

    Args:
        on_leaving: Called when it is learnt that a process leaves.
    """

    def __init__(self, on_leaving: Callable[[], None] = lambda: None) -> None:
        self.on_leaving = on_leaving
        self.rows: dict[ServerProcessId, ProcessStatements] = {}

    def of(self, process: ServerProcessId) -> ProcessStatements:
        """Return the row of a process, made if there is none."""
        return self.rows.setdefault(process, ProcessStatements())

    def note_leaving(self, stated: ProcessStatements, now: float) -> bool:
        """Note that a process leaves; returns True when that is new.

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
        """Drop rows of processes that have no entry and of which nothing was told for long.

        Args:
            held: Processes that have entries.
            now: Monotonic time, in seconds.
        """
        self.rows = {
            process: stated
            for process, stated in self.rows.items()
            if process in held or now - stated.touched_at < _KEPT_S
        }
