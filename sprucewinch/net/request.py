"""A request on its way, and where its answer goes."""

import abc
from dataclasses import dataclass, field
from typing import Optional

from .body import Body

Headers = list[tuple[str, str]]

TICKET_HEADER = "sprucewinch-ticket"
DEADLINE_HEADER = "sprucewinch-deadline-ms"
BLOCK_HEADER = "sprucewinch-client-block"
REQUEST_ID_HEADER = "sprucewinch-request-id"
OUTCOME_HEADER = "sprucewinch-outcome"
REASON_HEADER = "sprucewinch-reason"
HALL_HEADER = "sprucewinch-hall"
NOT_RUN_HEADER = "sprucewinch-not-run"
"""A backend server's word that it did not run a request: `shed` or `leaving`."""
LEAVING_HEADER = "sprucewinch-leaving"
"""A backend server's word, on any answer, that it is leaving."""

_HOP_BY_HOP = frozenset(
    (
        "connection",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
_OWN_PREFIX = "sprucewinch-"


@dataclass(slots=True)
class Request:
    """One request.

    Args:
        request_id: Unique name, carried along the whole path.
        service: Service.
        client_region: Region of the caller; empty when unknown.
        method: HTTP method.
        target: Path and query for the backend server.
        headers: End-to-end headers.
        body: The body.
        deadline: Monotonic time by which the answer must have begun, in seconds.
        ticket: The operation's ticket, for services that must not run twice.
        tried: Backend servers that have refused it.
    """

    request_id: str
    service: str
    client_region: str
    method: str
    target: str
    headers: Headers
    body: Body
    deadline: float
    ticket: Optional[str] = None
    tried: set[str] = field(default_factory=set)


class Responder(abc.ABC):
    """Takes the answer of one request, piece by piece, with back-pressure."""

    started = False
    """True when `start` was called; from then on no other answer can be given."""

    @abc.abstractmethod
    async def start(self, status: int, headers: Headers) -> None:
        """Begin the answer."""

    @abc.abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Send a piece of the answer's body; waits while the receiver is slow."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the answer; only then it is complete."""


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that are passed on, without hop-by-hop ones and our own."""
    named = {name.lower(): value for name, value in headers}
    listed = {token.strip().lower() for token in named.get("connection", "").split(",")}
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP
        and name.lower() not in listed
        and not name.lower().startswith(_OWN_PREFIX)
    ]
