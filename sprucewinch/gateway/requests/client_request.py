"""Data types of a request: the request, its attempts, its selected server and its reply.

These are the types that the steps of a request share: the request itself, its attempts with their
verdicts, the reasons why it is blocked or refused, the selected server and the reply. The module
relies on the resources and on the state of a backend server. It decides nothing; each rule has a
module of its own.
"""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple, Optional, Union

from ...net.connection import Answer
from ...net.connection_turn import ConnectionTurn
from ..estimates.admission_verdict import AdmissionVerdict
from ..resources import Route
from ..servers.backend_server import BackendServer
from ..statements.server_quotas import UNLIMITED, ServerGrant
from ..statements.statement import NOTHING_STATED, ServerStatement
from ..workspaces.admission import CallerRequest
from .admission.turn import Turn

TIMED_OUT = "timeout"
"""Cause of an attempt that was still running at the end of its request's hold time."""

ANSWERED = "answered"
"""Cause of an attempt that returned the server's own answer."""

MISDIRECTED = "misdirected"
"""Cause of an attempt at an address that now belongs to another server."""

SHED = "shed"
"""Prefix of the cause of an attempt that its server refused to run; the HTTP status follows."""

UNREACHABLE = "unreachable"
"""Cause of an attempt whose server could not be reached."""

NOT_OFFERED = "not-offered"
"""Cause of an attempt whose server was no longer available once its connection was established."""

QUARANTINED = "quarantined"
"""Cause of an attempt whose request was known to crash servers once its connection was
established."""

STOPPING = "stopping"
"""Cause of an attempt that was not sent, as its answer would not be whole before this process
ends."""

ENDED = "the connection ended"
"""Cause of an attempt whose connection ended before the whole answer, unless the server crashed."""

CRASHED = "server-crashed"
"""Cause of an attempt whose connection ended because its server's process crashed."""

RESTARTED = "server-restarted"
"""Cause of an attempt whose server's process was replaced by a new one before it answered."""

HEDGED = "hedged"
"""Cause of an attempt that was ended because another server answered the request first."""

_LOAD_DIGITS = 1
"""Decimal places of loads and limits in a request's log line, which are enough to compare them."""

_AGE_DIGITS = 3
"""Decimal places of ages in a request's log line: milliseconds."""

_MAX_AGE_S = 1e6
"""Age in a request's log line of a load that was never reported, as JSON has no infinity."""


class CallerHistory(enum.Enum):
    """Whether a caller has tried before; the value is its place among those of the same rank."""

    RETURNING = 0
    """It was refused, and returns after it has waited."""
    FIRST = 1
    """It has not tried before, or nothing is known of that."""
    REPEATING = 2
    """It tried a moment ago, and has not waited."""


@dataclass(slots=True)
class ClientRequest:
    """One request of a caller, including its whole body.

    Args:
        id: Id of the request, from the caller's header; empty when there is none.
        method: HTTP method.
        host: Value of the `Host` header.
        path: Path without the query.
        target: Path and query as they were sent.
        headers: Headers that are forwarded, names in lower case.
        body: The whole body.
        arrived_at: Monotonic time of arrival, in seconds.
        deadline: Monotonic time until which the caller waits, in seconds.
        key: Key of the object that it concerns; empty when there is none.
        attempts: Its attempts so far.
        blocked: Why no server could be selected the last time that this happened; None if never.
        at_server: True from the first byte that is sent to a backend server or another VM until
            `record` takes the attempt, unless that shows that the request did not run: it may run,
            or have run, and `attempts` does not tell.
        target_hash: See `crashes.fingerprint`; None until it is needed.
        fingerprint: Fingerprint of this and all equal requests; None until it is needed.
        on_trial: True when it is sent although equal requests have crashed servers.
        api_key: Digest of its caller's API key; None when it has none.
        caller: Its workspace, and the quota that it took from it.
        steps_over_share: Steps by which its workspace is above its fair share; 0 for not at all.
        denied_grants: Number of rate-limited servers that denied it a grant.
        turn: Its place among the requests of its connection; None where they run one by one.
        route_name: Name of its route when it was last sent; empty before.
        deadline_stated: True if the deadline is its caller's and not a default.
        history: Whether its caller has tried before; known only where servers state their pace.
        tried_for_s: Time from its caller's first attempt to its arrival, in seconds.
        service_turn: Its turn among all requests for its service; None until admission has counted
            it.
        waited_for_room: True once admission has let it wait.
        relayed_by: Entry VM that passed it on; empty when it came from its caller.
        earlier_runs: Backend servers on which it may have run before it was passed on.
        counted: True once a VM has counted it for the retry budget of its service.
        whole_at: Monotonic time at which its last byte arrived, in seconds; None until then.
        sent_at: Monotonic time at which it was last sent, in seconds; None until then.
        sent_to: Backend server or other VM that it was last sent to; empty until then.
        stopped: True once a stop of this process has refused it or broken it off.
    """

    id: str
    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: Union[bytes, bytearray]
    arrived_at: float
    deadline: float
    key: str = ""
    attempts: list["Attempt"] = field(default_factory=list)
    blocked: Optional["Blocked"] = None
    at_server: bool = False
    target_hash: Optional[int] = None
    fingerprint: Optional[bytes] = None
    on_trial: bool = False
    api_key: Optional[bytes] = None
    caller: CallerRequest = CallerRequest()
    steps_over_share: int = 0
    denied_grants: int = 0
    turn: Optional[ConnectionTurn] = None
    route_name: str = ""
    deadline_stated: bool = True
    history: CallerHistory = CallerHistory.FIRST
    tried_for_s: float = 0.0
    service_turn: Optional[Turn] = None
    waited_for_room: bool = False
    relayed_by: str = ""
    earlier_runs: int = 0
    counted: bool = False
    whole_at: Optional[float] = None
    sent_at: Optional[float] = None
    sent_to: str = ""
    stopped: bool = False

    def begin_sending(self, server_id: str, now: float) -> None:
        """Record that it is sent now; until `record` it may run, and no attempt tells of it.

        Args:
            server_id: The backend server, or another VM.
            now: Monotonic time, in seconds.
        """
        self.sent_to, self.sent_at = server_id, now
        self.at_server = True

    def record(self, *attempts: "Attempt") -> None:
        """Add attempts that have ended; from now on they tell whether the request may have run."""
        self.attempts.extend(attempts)
        self.at_server = False

    @property
    def may_have_run(self) -> bool:
        """Whether it may run or have run anywhere; False promises that it never will."""
        return self.at_server or self.possible_runs() > 0

    async def has_turn(self) -> bool:
        """Wait until all requests ahead on the connection are answered; False if it closes."""
        return self.turn is None or await self.turn.wait_for_turn()

    def tried_servers(self) -> set[str]:
        """Return the ids of the backend servers that were tried."""
        return {attempt.server_id for attempt in self.attempts}

    def unreachable_attempts(self) -> list["Attempt"]:
        """Return its attempts at servers that could not be reached."""
        return [attempt for attempt in self.attempts if attempt.cause == UNREACHABLE]

    def possible_runs(self) -> int:
        """Return the number of backend servers on which it may have run."""
        runs = sum(attempt.verdict is not Verdict.NOT_RUN for attempt in self.attempts)
        return self.earlier_runs + runs


class BlockedReason(enum.Enum):
    """Why no server could be selected."""

    NO_SERVER = "no-server"
    """No server is allowed, untried and usable."""
    OTHER_WAITS = "other-waits"
    """A more urgent request, or one as urgent with an earlier deadline, waits there."""
    CONCURRENCY_LIMIT = "concurrency-limit"
    """This VM has reached its concurrency limit at the server."""
    LOAD_LIMIT = "load-limit"
    """The server holds as many requests as it can answer within the route's timeout."""
    ADMISSION = "admission"
    """Admission refused it; see `Blocked.verdict`."""


class Blocked(NamedTuple):
    """Why a request was not sent to its first usable server.

    Args:
        server_id: The server; empty when none is usable.
        reason: The rule that decided it; not part of the log line.
        in_flight: Number of this VM's requests there.
        concurrency_limit: Largest number of requests that this VM may have there.
        load: Estimated number of requests at the server, from all VMs.
        load_age_s: Age of the server's last reported load, in seconds; infinite when it reported
            none.
        until: Monotonic time until which all servers have stated that they accept no requests, in
            seconds; None where that is not the reason. Not part of the log line.
        verdict: Why admission refused it; None where admission did not decide.
    """

    server_id: str
    reason: BlockedReason = BlockedReason.NO_SERVER
    in_flight: int = 0
    concurrency_limit: float = 0.0
    load: float = 0.0
    load_age_s: float = 0.0
    until: Optional[float] = None
    verdict: Optional[AdmissionVerdict] = None

    def log_fields(self) -> dict[str, Union[str, float]]:
        """Return the fields of a request's log line; their names are part of the log format."""
        fields: dict[str, Union[str, float]] = {
            "server_id": self.server_id,
            "in_flight": self.in_flight,
            "window": round(self.concurrency_limit, _LOAD_DIGITS),
            "load": round(self.load, _LOAD_DIGITS),
            "told_s": round(min(self.load_age_s, _MAX_AGE_S), _AGE_DIGITS),
        }
        if self.verdict is not None:
            fields["admission"] = self.verdict.reason.value
        return fields


class Verdict(enum.Enum):
    """What an attempt proves about whether its request ran."""

    ANSWERED = "answered"
    """The backend server's own answer arrived whole."""
    NOT_RUN = "not-run"
    """The request did not run there and never will."""
    UNKNOWN = "unknown"
    """The request may have run there."""


class Attempt(NamedTuple):
    """One attempt to have a request served by a backend server.

    Args:
        server_id: Id of the backend server.
        verdict: What the attempt proves about whether the request ran.
        may_have_arrived: True when a byte of the request may have reached the server.
        cause: Cause of the verdict, for the log.
        answer: The whole answer; None when there is none.
        seconds: Duration, in seconds.
        statement: What the answer's headers state about the server.
        selected: Why the server was selected.
    """

    server_id: str
    verdict: Verdict
    may_have_arrived: bool
    cause: str
    answer: Optional[Answer] = None
    seconds: float = 0.0
    statement: ServerStatement = NOTHING_STATED
    selected: Optional["SelectionReason"] = None


class RefusalReason(enum.Enum):
    """Why this VM gives an answer of its own; the value is `outcome` in the request's log line."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    BEHIND = "behind"
    OVER_QUOTA = "over-quota"
    NO_QUOTA = "no-quota"
    NO_REGION = "no-region"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    NO_SERVER = "no-server"
    NO_ROOM = "no-room"
    NO_TIME = "no-time"
    CRASHES_SERVERS = "crashes-servers"
    STOPPING = "stopping"
    TIMEOUT = "timeout"
    FAILED = "failed"


class Reply(NamedTuple):
    """The final answer to a caller.

    Args:
        answer: A backend server's answer that is forwarded; None when there is none.
        refusal: Why no server's answer is forwarded; None when one is.
        status: HTTP status.
        retry_after_s: Value of Retry-After, in seconds; None to send no such header.
        route: Route of the request; None when it has none.
    """

    answer: Optional[Answer]
    refusal: Optional[RefusalReason]
    status: int
    retry_after_s: Optional[float] = None
    route: Optional[Route] = None


class SelectionReason(enum.Enum):
    """Why a server was selected."""

    FIRST_CHOICE = "first-choice"
    """It is the first server of the object's ranking."""
    FIRST_USABLE = "first-usable"
    """The servers before it were tried or are not usable."""
    HELPS_FULL = "helps-full"
    """The server before it has no room, so the request spills over to this one."""
    SHARES_BUSY = "shares-busy"
    """The server before it, of the same region, has no free slot, and this one answers sooner."""
    HEDGE = "hedge"
    """The first server runs the request unusually long, so this one is tried as well."""
    SOONER = "sooner"
    """The first usable server is expected to answer late, or has no room; this one is sooner."""


class Selection(NamedTuple):
    """Where a request is sent next.

    Args:
        server: The selected backend server.
        service: Service that handles the request.
        reason: Why this server was selected.
        grant: Permission to send there, where the server states a rate limit.
    """

    server: BackendServer
    service: str
    reason: SelectionReason = SelectionReason.FIRST_CHOICE
    grant: ServerGrant = UNLIMITED
