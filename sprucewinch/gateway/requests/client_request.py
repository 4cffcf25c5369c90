"""A caller's request on its way, and what became of it."""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple, Optional

from ...net.connection import Answer
from ..resources import Route
from ..servers.backend_server import BackendServer


@dataclass(slots=True)
class ClientRequest:
    """One attempt of a caller, read whole.

    Args:
        id: Names the attempt.
        method: HTTP method.
        host: Value of the `Host` header.
        path: Path without the query.
        target: Path and query as they were sent.
        headers: Headers that are passed on, names in lower case.
        body: The whole body.
        arrived_at: Monotonic time of arrival, in seconds.
        deadline: Monotonic time until which the caller waits, in seconds.
        key: Names the object that it is about; empty when it names none.
        attempts: What was sent so far.
        blocked: Why it was not sent at the last look, if it was not.
        at_server: True while a backend server may be at work on it.
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

    def tried_servers(self) -> set[str]:
        """Return the backend servers that were tried."""
        return {send.server_id for send in self.attempts}

    def possible_runs(self) -> int:
        """Return on how many backend servers it may have run."""
        return sum(send.verdict is not Verdict.NOT_RUN for send in self.attempts)


class Blocked(NamedTuple):
    """Why the server that a request belongs to did not get it.

    Args:
        server_id: The server; empty when none can be used.
        in_flight: This VM's requests there.
        window: Most that it may have there.
        load: Requests that the server probably holds, of all VMs.
        told_s: Age of the server's own word on its load, in seconds.
    """

    server_id: str
    in_flight: int = 0
    window: float = 0.0
    load: float = 0.0
    told_s: float = 0.0


class Verdict(enum.Enum):
    """What is certain about one send."""

    ANSWERED = "answered"
    """The backend server's own whole answer."""
    NOT_RUN = "not-run"
    """It did not run and never will."""
    UNKNOWN = "unknown"
    """It may have run."""


class Attempt(NamedTuple):
    """One send to a backend server.

    Args:
        server_id: Backend server.
        verdict: What is certain about it.
        arrived: True when a byte of it may have reached the server.
        why: Cause, for the log.
        answer: The whole answer, when there is one.
        seconds: How long it took.
    """

    server_id: str
    verdict: Verdict
    arrived: bool
    why: str
    answer: Optional[Answer] = None
    seconds: float = 0.0


class RefusalReason(enum.Enum):
    """Why the system gives an answer of its own."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    NO_SERVER = "no-server"
    NO_ROOM = "no-room"
    STOPPING = "stopping"
    TIMEOUT = "timeout"
    FAILED = "failed"


class Reply(NamedTuple):
    """The final answer to a caller.

    Args:
        answer: A backend server's answer, passed on.
        refusal: Why there is none.
        status: HTTP status.
        retry_after_s: When to come back, in seconds; None when that was not said.
        route: Route it took, if any.
    """

    answer: Optional[Answer]
    refusal: Optional[RefusalReason]
    status: int
    retry_after_s: Optional[float] = None
    route: Optional[Route] = None


class Selection(NamedTuple):
    """Where a request is sent next.

    Args:
        server: Backend server.
        service: Service.
        second: True when it is not the object's first choice.
    """

    server: BackendServer
    service: str
    second: bool
