"""Which process of a backend server an entry comes from, where ids are kept over a restart.

Question: is an entry that of the process held here, of a later one, or a writing of an earlier one
that has arrived late? Inputs: entries in the order in which they arrive, each with its incarnation
or none, and monotonic time in seconds.

Rules. A higher incarnation is a new process, which has nothing of the one before: what was learnt
of that one would send it requests for objects that it no longer keeps, beyond what it bears while
cold. A lower one is outdated and changes nothing: a write without an answer may be carried out
seconds later, and must not bring the ended process back. One that still stands after `_OUTDATED_S`
is the server's present word, as a process that runs writes its entry anew every few seconds; so a
clock that was set back before a restart costs that time and no more. An entry without an
incarnation, of a server that stated one, is another writer's. Servers that state none are told
apart by their ids alone.

Shows in: events `server-restarted` and `unreadable`. Tests: `test_gateway_incarnations`. Owns the
newest incarnation by server, kept for `_REMEMBERED_S` after its entry has gone.
"""

import enum
import math
from typing import NamedTuple, Optional

from ..resources import BackendEntry

_OUTDATED_S = 10.0
"""Time after which an entry with a lower incarnation is believed, in seconds: beyond the seconds by
which a write may be carried out late, and several pauses between two writings of a server."""

_REMEMBERED_S = 60.0
"""Time for which the incarnation of a server whose entry has gone is kept, in seconds, against
writes that are carried out late. Longer costs memory only."""


class Succession(enum.Enum):
    """How an entry stands to the process that is held."""

    SAME = "same"
    """It is that process's own, or nothing tells the two apart."""
    LATER = "later"
    """It is that of a later process: the one that is held has ended."""
    OUTDATED = "outdated"
    """It is that of an earlier process, and arrived late."""
    FOREIGN = "foreign"
    """It lacks the incarnation that the server has stated: it is another writer's."""


class _Known(NamedTuple):
    """The newest incarnation of one server, and the monotonic time until which it counts."""

    incarnation: int
    until: float = math.inf


class _Outdated(NamedTuple):
    """An entry of an earlier process, and the monotonic time at which it arrived."""

    entry: BackendEntry
    since: float


class Incarnations:
    """The newest incarnation of each backend server."""

    __slots__ = ("_known", "_outdated")

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._outdated: dict[str, _Outdated] = {}

    def judge(self, entry: BackendEntry, now: float) -> Succession:
        """Return how an entry stands to the process held, and hold the later one from now on.

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

    def spoilt(self, server_id: str) -> None:
        """Note that a server's entry cannot be read: an outdated one stands there no more."""
        self._outdated.pop(server_id, None)

    def left(self, server_id: str, now: float) -> None:
        """Note that a server's entry has gone, at a monotonic time, in seconds."""
        self._outdated.pop(server_id, None)
        known = self._known.get(server_id)
        if known is not None:
            self._known[server_id] = known._replace(until=now + _REMEMBERED_S)

    def standing(self, now: float) -> list[BackendEntry]:
        """Return the outdated entries that have stood for so long that they are believed now."""
        believed = [o.entry for o in self._outdated.values() if now - o.since >= _OUTDATED_S]
        for entry in believed:
            del self._outdated[entry.id]
            self._hold(entry)
        return believed

    def forget_old(self, now: float) -> None:
        """Drop what is kept of servers that have been gone for long."""
        self._known = {name: known for name, known in self._known.items() if known.until > now}

    def _newest(self, server_id: str, now: float) -> Optional[int]:
        known = self._known.get(server_id)
        return known.incarnation if known is not None and known.until > now else None

    def _hold(self, entry: BackendEntry) -> None:
        if entry.incarnation is not None:
            self._known[entry.id] = _Known(entry.incarnation)
