"""Decides whether a backend server's entry is older than what is known of the server.

After the store's return from an older copy, entries are there again that their servers have written
over or that were removed. Such an entry does not count: it is of a later era than what is known,
and its server has numbered a later write (`sequence`). The server's next write has a higher number
and counts again, within one of its heartbeats. A server that was gone stays gone at an equal number
too, as it may have written nothing between the copy and its end.

Within one era the store's order holds, whatever the numbers say. An entry of another process of the
server, or one without a number, counts always.

Inputs are the entries with their revisions, and monotonic times in seconds. Owns the newest number
of each server, for `_KEEP_S` after its entry was removed. Tests: `test_gateway_older_copy`.
"""

from typing import NamedTuple, Optional

from ..resources import BackendEntry
from .revisions import era_of

_KEEP_S = 60.0
"""Time for which a removed server's number is kept, in seconds: its entry in an older copy lapses
after some heartbeats."""


class _Known(NamedTuple):
    """The newest entry of a server.

    Args:
        incarnation: Number of its process; None if not stated.
        sequence: Number of the write.
        era: Era of the store in which it was seen or removed.
        removed_at: Monotonic time of its removal, in seconds; None while it is there.
    """

    incarnation: Optional[int]
    sequence: int
    era: int
    removed_at: Optional[float] = None


class EntryOrder:
    """The newest entry of each backend server."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def is_outdated(self, entry: BackendEntry, revision: int) -> bool:
        """Return whether an entry of a later era is older than what is known.

        Args:
            entry: The entry.
            revision: Revision of its item.
        """
        known = self._known.get(entry.id)
        if known is None or entry.sequence is None or entry.incarnation != known.incarnation:
            return False
        if era_of(revision) <= known.era:
            return False
        removed = known.removed_at is not None
        return entry.sequence < known.sequence + removed

    def record(self, entry: BackendEntry, revision: int) -> None:
        """Record an entry that counts."""
        if entry.sequence is not None:
            self._known[entry.id] = _Known(entry.incarnation, entry.sequence, era_of(revision))

    def record_removal(self, server_id: str, revision: int, now: float) -> None:
        """Record that a server's entry was removed.

        Args:
            server_id: Id of the server.
            revision: Revision of the removal.
            now: Monotonic time, in seconds.
        """
        known = self._known.pop(server_id, None)
        self._known = {
            name: each
            for name, each in self._known.items()
            if each.removed_at is None or now - each.removed_at < _KEEP_S
        }
        if known is not None:
            self._known[server_id] = known._replace(era=era_of(revision), removed_at=now)
