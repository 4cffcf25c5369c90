"""Record of one day of the soak, as seen from outside the processes.

Owns the record types: attempts, troubles, configuration versions, leaving servers, crashes, process
ends and broken promises. It decides nothing: `world`, `troubles` and `callers` write the record,
`promises` judges it. All times are of the soak's own monotonic clock, in seconds.
"""

import enum
from collections import defaultdict
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import NamedTuple, Optional

STORE = "store"
"""Scope of a trouble that affects the store for all entry VMs."""

SERVERS = "backend servers"
"""Scope of a trouble that affects backend servers; it excuses no entry VM from any promise."""

OPERATORS = "operators"
"""Scope of operators' work; it excuses no entry VM either."""

EVERYBODY = "everybody"
"""Scope of a trouble that affects all entry VMs, such as a pause of the soak's own process."""

CALLERS = "callers"
"""Scope of what callers do; it excuses no entry VM either."""

START = "start"
"""Name of the trouble that is recorded for an entry VM from its start until it is ready."""


class End(enum.Enum):
    """How an attempt ended for its caller."""

    ANSWERED = "answered"
    UNREACHED = "no connection"
    CLOSED = "closed without an answer"
    LATE = "no answer in time"
    UNREAD = "behind an answer that closed the connection"


class Attempt:
    """One request that a caller sent, and how it ended.

    Args:
        request_id: Id of the request.
        route: Name of the route that the request is for.
        vm: Entry VM to which the request was sent.
        sent_at: When the request was sent, as monotonic time in seconds.
        key: API key of the request; empty for none.
        behind: True when it was sent on a connection behind another one without an answer.

    Attributes:
        whole_at: When its last byte was sent, as monotonic time in seconds.
    """

    __slots__ = (
        "behind",
        "end",
        "ended_at",
        "key",
        "request_id",
        "route",
        "sent_at",
        "status",
        "vm",
        "whole_at",
    )

    def __init__(
        self,
        request_id: str,
        route: str,
        vm: str,
        sent_at: float,
        *,
        key: str = "",
        behind: bool = False,
    ) -> None:
        self.behind = behind
        self.key = key
        self.request_id = request_id
        self.route = route
        self.vm = vm
        self.sent_at = self.whole_at = sent_at
        self.ended_at = float("inf")
        self.end: Optional[End] = None
        self.status = 0


class TroubleSpan(NamedTuple):
    """One trouble and the time for which it lasted.

    Args:
        what: Name of the trouble's kind.
        scope: Entry VM that was affected, or `STORE`, `SERVERS`, `OPERATORS` or `EVERYBODY`.
        start: Begin of the trouble, as monotonic time in seconds.
        end: End of the trouble, likewise.
        planned: True for planned work, which must not cut requests off.
    """

    what: str
    scope: str
    start: float
    end: float
    planned: bool = False


class Version(NamedTuple):
    """One version of the configuration.

    Args:
        number: Version number.
        acknowledged_at: When the store acknowledged the version, as monotonic time in seconds.
        services: Service of each route, by the route's name.
        keys: All API keys.
        rates_per_s: Limit of each workspace in requests a second, by its name.
    """

    number: int
    acknowledged_at: float
    services: dict[str, str]
    keys: frozenset[str] = frozenset()
    rates_per_s: Mapping[str, float] = MappingProxyType({})


class Leaving(NamedTuple):
    """A backend server that is draining, or whose data hall is evacuated.

    Args:
        server_id: Id of the server.
        acknowledged_at: When the store acknowledged the state, as monotonic time in seconds.
        allowed_s: Time after that in which requests may still arrive, in seconds.
        until: End of the state, as monotonic time in seconds.
        rule: Promise that a later request breaks.
    """

    server_id: str
    acknowledged_at: float
    allowed_s: float
    until: float
    rule: str


class ProcessorWait(NamedTuple):
    """A wait of an entry VM's process for a processor.

    Args:
        vm: The entry VM.
        at: End of the wait, as monotonic time in seconds.
        waited_s: Its length, in seconds.
    """

    vm: str
    at: float
    waited_s: float


class MemoryUse(NamedTuple):
    """Memory of an entry VM while callers read slowly or not at all.

    Args:
        vm: The entry VM.
        before_mb: Its memory before that, in MiB.
        most_mb: Its largest memory meanwhile, in MiB.
    """

    vm: str
    before_mb: float
    most_mb: float


class LinkCut(NamedTuple):
    """An entry VM without links to backend servers.

    Args:
        vm: The entry VM.
        start: Begin of the cut, as monotonic time in seconds.
        end: End of the cut, likewise.
    """

    vm: str
    start: float
    end: float


class UnreadableSettings(NamedTuple):
    """An entry VM's settings file in which nothing can be read.

    Args:
        vm: The entry VM.
        start: When it was written, as monotonic time in seconds.
        end: When it was mended, likewise.
    """

    vm: str
    start: float
    end: float


class CrashingSend(NamedTuple):
    """One attempt to send a request that crashes the backend servers which run it.

    Args:
        request_id: Id of the attempt.
        target: Path of the request, equal for all attempts.
        vm: Entry VM to which the request was sent.
    """

    request_id: str
    target: str
    vm: str


class Broken(NamedTuple):
    """A promise that was broken.

    Args:
        rule: Name of the promise.
        what: Observation that broke it.
    """

    rule: str
    what: str


class Ledger:
    """All records of one day.

    Attributes:
        crashes: Times at which servers crashed, by the target of the request that crashed them.
        ends: Time and exit status of each end of a process, by entry VM.
        signalled: Time and number of each signal sent, by entry VM.
        waits: Long waits of entry VMs for a processor.
        memory: Memory of entry VMs beside callers that could make it grow.
        invalid_statuses: Ids of the requests whose server answered with a status that is none.
        link_cuts: Losses of links to backend servers, by entry VM.
        unreadable_settings: Settings files in which nothing could be read, by entry VM.
        quiet_from: Time from which no trouble is left and everything has to work.
    """

    def __init__(self) -> None:
        self.attempts: list[Attempt] = []
        self.troubles: list[TroubleSpan] = []
        self.versions: list[Version] = []
        self.leavings: list[Leaving] = []
        self.broken: list[Broken] = []
        self.crashing_sends: list[CrashingSend] = []
        self.crashes: dict[str, list[float]] = defaultdict(list)
        self.ends: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self.signalled: dict[str, list[tuple[float, int]]] = defaultdict(list)
        self.waits: list[ProcessorWait] = []
        self.memory: list[MemoryUse] = []
        self.invalid_statuses: set[str] = set()
        self.link_cuts: list[LinkCut] = []
        self.unreadable_settings: list[UnreadableSettings] = []
        self.quiet_from = float("inf")

    def record_broken(self, rule: str, what: str) -> None:
        """Record a broken promise."""
        self.broken.append(Broken(rule, what))

    def undisturbed(self, vm: str, start: float, end: float) -> bool:
        """Return whether no trouble affected an entry VM or the store in a time span.

        Args:
            vm: The entry VM.
            start: Start, as monotonic time in seconds.
            end: End, likewise.
        """
        return not any(self._troubles_in(start, end, (vm, STORE, EVERYBODY)))

    def vm_without_faults(self, vm: str, start: float, end: float) -> bool:
        """Return whether only planned work and starts affected an entry VM in a time span.

        Args:
            vm: The entry VM; the store may fail meanwhile.
            start: Start, as monotonic time in seconds.
            end: End, likewise.
        """
        return not any(
            not span.planned and span.what != START
            for span in self._troubles_in(start, end, (vm, EVERYBODY))
        )

    def vm_undisturbed(self, vm: str, start: float, end: float) -> bool:
        """Return whether nothing affected an entry VM itself, planned work and starts included.

        Args:
            vm: The entry VM; the store may fail meanwhile.
            start: Start, as monotonic time in seconds.
            end: End, likewise.
        """
        return not any(self._troubles_in(start, end, (vm, EVERYBODY)))

    def _troubles_in(
        self, start: float, end: float, scopes: tuple[str, ...]
    ) -> Iterator[TroubleSpan]:
        return (
            span
            for span in self.troubles
            if span.scope in scopes and span.start <= end and span.end >= start
        )
