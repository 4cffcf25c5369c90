"""A request of Sprucewinch's own interface as it passes through a VM, and its responder.

Owns the request's data, the abstract responder that receives its answer, the names of Sprucewinch's
own headers, and which headers are end-to-end. Makes no decision. Relies on `body` for the request's
body; `asgi` implements the responder for callers.
"""

import abc
from dataclasses import dataclass, field
from typing import Optional

from .body import Body

Headers = list[tuple[str, str]]

TICKET_HEADER = "sprucewinch-ticket"
"""Ticket of an operation that must not run twice."""
DEADLINE_HEADER = "sprucewinch-deadline-ms"
"""Time that is left for the request, in milliseconds."""
BLOCK_HEADER = "sprucewinch-client-block"
"""Client block that the caller belongs to; its IP address decides when absent."""
REQUEST_ID_HEADER = "sprucewinch-request-id"
"""Unique id of the request."""
OUTCOME_HEADER = "sprucewinch-outcome"
"""Outcome of the request, on answers to callers."""
REASON_HEADER = "sprucewinch-reason"
"""Reason of a refusal, on answers to callers."""
HALL_HEADER = "sprucewinch-hall"
"""Data hall of the entry VM that answered."""
NOT_RUN_HEADER = "sprucewinch-not-run"
"""Present when a backend server did not run the request: `shed` or `leaving`."""
LEAVING_HEADER = "sprucewinch-leaving"
"""Present on any answer of a backend server that is leaving."""

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
"""Headers that concern one connection only, or that each sender sets itself (RFC 9110)."""

_OWN_PREFIX = "sprucewinch-"
"""Prefix of Sprucewinch's own headers, which are not forwarded."""


@dataclass(slots=True)
class Request:
    """One request.

    Args:
        request_id: Unique id, carried along the whole path.
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
    """Receives the answer of one request, chunk by chunk, with back-pressure."""

    started = False
    """True once `start` was called; from then on no other answer can be sent."""

    @abc.abstractmethod
    async def start(self, status: int, headers: Headers) -> None:
        """Begin the answer with its status and headers."""

    @abc.abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the answer's body; waits while the caller reads slowly."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the answer; without this call it is incomplete."""


def end_to_end(headers: Headers) -> Headers:
    """Return the headers to forward: neither hop-by-hop headers nor Sprucewinch's own."""
    named = {name.lower(): value for name, value in headers}
    listed = {token.strip().lower() for token in named.get("connection", "").split(",")}
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP
        and name.lower() not in listed
        and not name.lower().startswith(_OWN_PREFIX)
    ]
