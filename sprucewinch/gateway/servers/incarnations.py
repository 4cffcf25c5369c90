"""Tells the processes of a backend server apart where its id is kept over a restart.

Each entry that arrives from the store is compared with the newest incarnation known for its server:

- A higher incarnation is a new process. Nothing known of the former one holds for it: its objects
  are no longer warm, and the requests for them would exceed what it bears while cold.
- A lower incarnation is outdated and is ignored. A write without an answer may be carried out
  seconds later, and must not bring the ended process back.
- An outdated entry that is still in the store after `_ACCEPT_OUTDATED_AFTER_S` is accepted, as a
  running process writes its entry every few seconds. A clock that was set back before a restart
  therefore costs that time and no more.
- An entry without an incarnation, for a server that has stated one, comes from another writer.

Servers that state no incarnation are told apart only by their ids. Times are monotonic, in seconds.

Owns the newest incarnation of each server, kept for `_KEEP_INCARNATION_S` after its entry was
removed. Results show in the events `server-restarted` and `unreadable`. Tests:
`test_gateway_incarnations`.
"""

import enum
import math
from typing import NamedTuple, Optional

from ..resources import BackendEntry

_ACCEPT_OUTDATED_AFTER_S = 10.0
"""Time after which an entry with a lower incarnation is accepted, in seconds: longer than a write
may be delayed, and several times the interval at which a server writes its entry."""

_KEEP_INCARNATION_S = 60.0
"""Time for which a server's incarnation is kept after its entry was removed, in seconds, to detect
writes that are carried out late. A longer time costs only memory."""


class Succession(enum.Enum):
    """How an entry relates to the known process of its server."""

    SAME = "same"
    """The same process wrote it, or nothing tells the two apart."""
    LATER = "later"
    """A later process wrote it: the known one has ended."""
    OUTDATED = "outdated"
    """An earlier process wrote it, and it arrived late."""
    FOREIGN = "foreign"
    """It lacks the incarnation that the server has stated: another writer wrote it."""


class _Known(NamedTuple):
    """The newest incarnation of one server, and until when it is kept, in monotonic seconds."""

    incarnation: int
    until: float = math.inf


class _Outdated(NamedTuple):
    """An entry of an earlier process, and the monotonic time at which it arrived, in seconds."""

    entry: BackendEntry
    since: float


class Incarnations:
    """The newest incarnation of each backend server."""

    __slots__ = ("_known", "_outdated")

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._outdated: dict[str, _Outdated] = {}

    def classify(self, entry: BackendEntry, now: float) -> Succession:
        """Return how an entry relates to the known process, and remember a later incarnation.

        Args:
            entry: The entry that arrived.
            now: Monotonic time, in seconds.
        """
        self._outdated.pop(entry.id, None)
        known = self._newest(entry.id, now)
        if known is None:
            self._hold(entry)
            return Succession.SAME
        if entry.incarnation is None:
            return Succession.FOREIGN
        if entry.incarnation < known:
            self._outdated[entry.id] = _Outdated(entry, now)
            return Succession.OUTDATED
        self._hold(entry)
        return Succession.LATER if entry.incarnation > known else Succession.SAME

    def entry_unreadable(self, server_id: str) -> None:
        """Record that a server's entry cannot be read; it is no longer the outdated one."""
        self._outdated.pop(server_id, None)

    def entry_removed(self, server_id: str, now: float) -> None:
        """Record that a server's entry was removed at a monotonic time, in seconds."""
        self._outdated.pop(server_id, None)
        known = self._known.get(server_id)
        if known is not None:
            self._known[server_id] = known._replace(until=now + _KEEP_INCARNATION_S)

    def accept_outdated(self, now: float) -> list[BackendEntry]:
        """Return the outdated entries that are now accepted, and remember their incarnations.

        Args:
            now: Monotonic time, in seconds.
        """
        accepted = [
            o.entry for o in self._outdated.values() if now - o.since >= _ACCEPT_OUTDATED_AFTER_S
        ]
        for entry in accepted:
            del self._outdated[entry.id]
            self._hold(entry)
        return accepted

    def forget_old(self, now: float) -> None:
        """Drop the incarnations of servers whose entries were removed long ago."""
        self._known = {name: known for name, known in self._known.items() if known.until > now}

    def _newest(self, server_id: str, now: float) -> Optional[int]:
        known = self._known.get(server_id)
        return known.incarnation if known is not None and known.until > now else None

    def _hold(self, entry: BackendEntry) -> None:
        if entry.incarnation is not None:
            self._known[entry.id] = _Known(entry.incarnation)
