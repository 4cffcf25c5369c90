"""The data of a caller's request: its attempts, its selection and its reply.

Owns the types that the steps of a request share: the request, its attempts with their verdicts, why
it is blocked or refused, its selection and its reply. Relies on the resources and on what is known
of a backend server. Holds no rule; each rule has a module of its own.
"""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple, Optional, Union

from ...net.connection import Answer
from ..resources import Route
from ..servers.backend_server import BackendServer
from ..statements.server_quotas import UNLIMITED, ServerGrant
from ..statements.statement import NOTHING_STATED, ServerStatement
from ..workspaces.admission import CallerRequest

TIMED_OUT = "timeout"
"""Cause of an attempt that ended at the time until which its request is held."""

ANSWERED = "answered"
"""Cause of an attempt that ran and brought the server's own answer."""

MISDIRECTED = "misdirected"
"""Cause of an attempt whose address now belongs to another server."""

SHED = "shed"
"""Start of the cause of an attempt that its server refused to run; its status follows."""

UNREACHABLE = "unreachable"
"""Cause of an attempt whose server could not be reached."""

NOT_OFFERED = "not-offered"
"""Cause of an attempt whose server was no longer offered once its connection had come up."""

QUARANTINED = "quarantined"
"""Cause of an attempt whose request was known to crash servers once its connection had come up."""

ENDED = "the connection ended"
"""Cause of an attempt whose connection ended before the whole answer, but for a crash."""

CRASHED = "server-crashed"
"""Cause of an attempt whose connection ended because its server's process did."""

RESTARTED = "server-restarted"
"""Cause of an attempt whose server's process ended before it answered."""

_LOAD_DIGITS = 1
"""Digits after the point of loads and limits in a request's line: enough to compare them."""

_AGE_DIGITS = 3
"""Digits after the point of ages in a request's line: milliseconds."""

_LONGEST_AGE_S = 1e6
"""Age in a request's line, in seconds, of a load that was never reported: JSON has no infinity."""


@dataclass(slots=True)
class ClientRequest:
    """One request of a caller, read whole.

    Args:
        id: Names the request.
        method: HTTP method.
        host: Value of the `Host` header.
        path: Path without the query.
        target: Path and query as they were sent.
        headers: Headers that are passed on, names in lower case.
        body: The whole body.
        arrived_at: Monotonic time of arrival, in seconds.
        deadline: Monotonic time until which the caller waits, in seconds.
        key: Names the object that it concerns; empty when it names none.
        attempts: Its attempts so far.
        blocked: Why no server could be selected, the last time that this happened; None if never.
        at_server: True while a backend server may work on it.
        target_hash: See `crashes.fingerprint`; None until it is needed.
        fingerprint: What names it and all equal requests; None until it is needed.
        on_trial: True when it is sent although equal ones have crashed servers.
        api_key: Digest of its caller's API key; None when it has none.
        caller: Its workspace, and what it took of that one's limit.
        steps_over_share: Steps by which its workspace is above its fair share; 0 for not at all.
        denied_grants: Number of rate-limited servers that had no grant left for it.
    """

    id: str
    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
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

    def tried_servers(self) -> set[str]:
        """Return the backend servers that were tried."""
        return {attempt.server_id for attempt in self.attempts}

    def possible_runs(self) -> int:
        """Return on how many backend servers it may have run."""
        return sum(attempt.verdict is not Verdict.NOT_RUN for attempt in self.attempts)


class BlockedReason(enum.Enum):
    """Why no server could be selected."""

    NO_SERVER = "no-server"
    """No server is allowed, untried and usable."""
    OTHER_WAITS = "other-waits"
    """A request that is more urgent, or as urgent with an earlier deadline, waits there."""
    CONCURRENCY_LIMIT = "concurrency-limit"
    """This VM has as many requests at the server as it may have."""
    LOAD_LIMIT = "load-limit"
    """The server holds as many requests as it answers in the route's time."""


class Blocked(NamedTuple):
    """Why a request was not sent to its first usable server.

    Args:
        server_id: The server; empty when none can be used.
        reason: The rule that decided it; not part of the log line.
        in_flight: This VM's requests there.
        concurrency_limit: Most requests that this VM may have there.
        load: Requests that the server probably holds, of all VMs.
        load_age_s: Age of the server's last reported load, in seconds; infinite when it reported
            none.
        until: Monotonic time until which no server takes a request by its own word, in seconds;
            None where that is not the reason. Not part of the log line.
    """

    server_id: str
    reason: BlockedReason = BlockedReason.NO_SERVER
    in_flight: int = 0
    concurrency_limit: float = 0.0
    load: float = 0.0
    load_age_s: float = 0.0
    until: Optional[float] = None

    def log_fields(self) -> dict[str, Union[str, float]]:
        """Return the fields of a request's line; others read their names, so those stay."""
        return {
            "server_id": self.server_id,
            "in_flight": self.in_flight,
            "window": round(self.concurrency_limit, _LOAD_DIGITS),
            "load": round(self.load, _LOAD_DIGITS),
            "told_s": round(min(self.load_age_s, _LONGEST_AGE_S), _AGE_DIGITS),
        }


class Verdict(enum.Enum):
    """What is certain about one attempt."""

    ANSWERED = "answered"
    """The backend server's own whole answer."""
    NOT_RUN = "not-run"
    """It did not run and never will."""
    UNKNOWN = "unknown"
    """It may have run."""


class Attempt(NamedTuple):
    """One try of a request at a backend server.

    Args:
        server_id: Backend server.
        verdict: What is certain about it.
        arrived: True when a byte of the request may have reached the server.
        why: Cause of the verdict, for the log.
        answer: The whole answer, when there is one.
        seconds: How long it took.
        statement: What its answer states of the server.
    """

    server_id: str
    verdict: Verdict
    arrived: bool
    why: str
    answer: Optional[Answer] = None
    seconds: float = 0.0
    statement: ServerStatement = NOTHING_STATED


class RefusalReason(enum.Enum):
    """Why the system gives an answer of its own; the value is the line's `outcome`."""

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
        answer: A backend server's answer, passed on.
        refusal: Why no server's answer is passed on; None when one is.
        status: HTTP status.
        retry_after_s: Value of Retry-After, in seconds; None to send no such header.
        route: Route of the request, if any.
    """

    answer: Optional[Answer]
    refusal: Optional[RefusalReason]
    status: int
    retry_after_s: Optional[float] = None
    route: Optional[Route] = None


class SelectionReason(enum.Enum):
    """Why a server is selected."""

    FIRST_CHOICE = "first-choice"
    """It is the first server of the object's ranking."""
    FIRST_USABLE = "first-usable"
    """The servers before it were tried or are not usable."""
    HELPS_FULL = "helps-full"
    """The server before it has no room, so the request spills over to this one."""
    SHARES_BUSY = "shares-busy"
    """The server before it, of the same region, has no free slot, and this one answers sooner."""


class Selection(NamedTuple):
    """Where a request is sent next.

    Args:
        server: Backend server.
        service: Service.
        reason: Why this server.
        grant: The right to send there, where the server states a limit.
    """

    server: BackendServer
    service: str
    reason: SelectionReason = SelectionReason.FIRST_CHOICE
    grant: ServerGrant = UNLIMITED
