"""Record of one day of the soak, as seen from outside the processes.

Owns the types of what is recorded: attempts, faults, versions, leaving servers, broken promises.
Decides nothing: `world`, `troubles` and `callers` write it, `promises` judges by it. All times are
of the soak's own monotonic clock, in seconds.
"""

import enum
from collections import defaultdict
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import NamedTuple, Optional

STORE = "store"
"""Scope of a trouble that strikes the store for all entry VMs."""

SERVERS = "backend servers"
"""Scope of a trouble that strikes backend servers; the entry VMs stay bound by everything."""

OPERATORS = "operators"
"""Scope of operators' work, by which the entry VMs stay bound as well."""

EVERYBODY = "everybody"
"""Scope of a trouble that strikes all entry VMs, such as a pause of the soak's own process."""

START = "start"
"""What strikes an entry VM from its start until it is ready."""


class End(enum.Enum):
    """How an attempt ended for its caller."""

    ANSWERED = "answered"
    UNREACHED = "no connection"
    CLOSED = "closed without an answer"
    LATE = "no answer in time"


class Attempt:
    """One attempt of a caller.

    Args:
        request_id: Its id.
        route: Name of the route that it is for.
        vm: Entry VM that it was sent to.
        sent_at: When it was sent, as monotonic time in seconds.
        key: API key that it carries; empty for none.
    """

    __slots__ = ("end", "ended_at", "key", "request_id", "route", "sent_at", "status", "vm")

    def __init__(
        self, request_id: str, route: str, vm: str, sent_at: float, *, key: str = ""
    ) -> None:
        self.key = key
        self.request_id = request_id
        self.route = route
        self.vm = vm
        self.sent_at = sent_at
        self.ended_at = float("inf")
        self.end: Optional[End] = None
        self.status = 0


class Struck(NamedTuple):
    """One trouble while it lasted.

    Args:
        what: What it was.
        scope: Entry VM that it struck, or `STORE`, `SERVERS`, `OPERATORS` or `EVERYBODY`.
        start: When it began, as monotonic time in seconds.
        end: When it was over, likewise.
        planned: True for work that is planned and must cut nothing off.
    """

    what: str
    scope: str
    start: float
    end: float
    planned: bool = False


class Version(NamedTuple):
    """One version of the configuration.

    Args:
        number: Its number.
        acknowledged_at: When the store took it, as monotonic time in seconds.
        services: Service of each route, by the route's name.
        keys: All API keys.
        rates_per_s: Requests a second that each workspace may send, by its name.
    """

    number: int
    acknowledged_at: float
    services: dict[str, str]
    keys: frozenset[str] = frozenset()
    rates_per_s: Mapping[str, float] = MappingProxyType({})


class Leaving(NamedTuple):
    """A backend server that leaves, or whose data hall is evacuated.

    Args:
        server_id: The server.
        acknowledged_at: When the store took it, as monotonic time in seconds.
        allowed_s: How long requests may still arrive, in seconds.
        until: Until when it holds, as monotonic time in seconds.
        rule: The promise that it is for.
    """

    server_id: str
    acknowledged_at: float
    allowed_s: float
    until: float
    rule: str


class SickSend(NamedTuple):
    """One try of a request that crashes the backend servers which run it.

    Args:
        request_id: Its id.
        target: What it is for; equal for all tries.
        vm: Entry VM that it was sent to.
    """

    request_id: str
    target: str
    vm: str


class Broken(NamedTuple):
    """A promise that was broken.

    Args:
        rule: The promise.
        what: What was seen.
    """

    rule: str
    what: str


class Ledger:
    """All records of one day."""

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.struck: list[Struck] = []
        self.versions: list[Version] = []
        self.leavings: list[Leaving] = []
        self.broken: list[Broken] = []
        self.sick_sends: list[SickSend] = []
        self.crashes: dict[str, list[float]] = defaultdict(list)
        self.ends: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self.signalled: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self.quiet_from = float("inf")

    def breaks(self, rule: str, what: str) -> None:
        """Record a broken promise."""
        self.broken.append(Broken(rule, what))

    def undisturbed(self, vm: str, start: float, end: float) -> bool:
        """Return whether nothing struck an entry VM or the store in a span of time.

        Args:
            vm: The entry VM.
            start: Start, as monotonic time in seconds.
            end: End, likewise.
        """
        return not any(self._strikes(start, end, (vm, STORE, EVERYBODY)))

    def unstruck_itself(self, vm: str, start: float, end: float) -> bool:
        """Return whether nothing but planned work and starts struck an entry VM in a span of time.

        Args:
            vm: The entry VM; the store may fail meanwhile.
            start: Start, as monotonic time in seconds.
            end: End, likewise.
        """
        return not any(
            not struck.planned and struck.what != START
            for struck in self._strikes(start, end, (vm, EVERYBODY))
        )

    def untouched(self, vm: str, start: float, end: float) -> bool:
        """Return whether nothing struck an entry VM itself, planned work and starts included.

        Args:
            vm: The entry VM; the store may fail meanwhile.
            start: Start, as monotonic time in seconds.
            end: End, likewise.
        """
        return not any(self._strikes(start, end, (vm, EVERYBODY)))

    def _strikes(self, start: float, end: float, scopes: tuple[str, ...]) -> Iterator[Struck]:
        return (
            struck
            for struck in self.struck
            if struck.scope in scopes and struck.start <= end and struck.end >= start
        )
