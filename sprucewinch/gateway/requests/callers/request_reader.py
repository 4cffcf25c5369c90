"""Reads a caller's request from its ASGI scope.

Owns which headers are passed on, and where a request's id, deadline, object and API key are found.
A key goes no further than its digest: it is neither passed on nor held. Relies on
the platform's header names, and on `outcome.hold_time` for how long a caller waits. Reads no body
and refuses nothing.
"""

from typing import Any, NamedTuple, Optional

from ....net.http_server import TARGET_KEY
from ....net.request import end_to_end
from ...header_names import HeaderNames
from ...workspaces.keys import key_digest
from ..client_request import ClientRequest
from ..outcome.hold_time import WaitSource, caller_wait

_NOT_PASSED_ON = frozenset(("content-length", "accept-encoding"))
"""Headers that this VM sets itself towards a server, or that would have the answer encoded."""


class ReadRequest(NamedTuple):
    """A request as it was read.

    Args:
        request: The request.
        wait_source: Where the length of its caller's wait comes from.
    """

    request: ClientRequest
    wait_source: WaitSource


class RequestReader:
    """Reads requests.

    Args:
        names: Names of headers.
    """

    __slots__ = ("names",)

    def __init__(self, names: HeaderNames) -> None:
        self.names = names

    def read(self, scope: dict[str, Any], body: bytes, arrived_at: float) -> ReadRequest:
        """Return a request.

        Args:
            scope: Its ASGI scope.
            body: Its body, as far as it was kept.
            arrived_at: Monotonic time of its arrival, in seconds.
        """
        headers = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in scope["headers"]]
        first_by_name = dict(reversed(headers))
        target = scope.get(TARGET_KEY, scope["raw_path"]).decode("latin-1")
        wait = caller_wait(first_by_name.get(self.names.deadline_ms))
        api_keys = [value for name, value in headers if name == self.names.api_key]
        request = ClientRequest(
            id=first_by_name.get(self.names.request_id, ""),
            method=scope["method"],
            host=first_by_name.get("host", ""),
            path=target.partition("?")[0],
            target=target,
            headers=self._passed_on(headers),
            body=body,
            arrived_at=arrived_at,
            deadline=arrived_at + wait.seconds,
            key=_cookie(first_by_name.get("cookie", ""), self.names.affinity),
            api_key=_digest(api_keys),
        )
        return ReadRequest(request, wait.source)

    def _passed_on(self, headers: list[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
        names = self.names
        own = (names.deadline_ms, names.expected, names.api_key, names.workspace)
        return tuple(
            (name, value)
            for name, value in end_to_end(headers)
            if name not in _NOT_PASSED_ON and name not in own
        )


def _digest(api_keys: list[str]) -> Optional[bytes]:
    """Return the digest of a request's API key; two keys are no proof of either workspace."""
    if len(api_keys) != 1 or not api_keys[0]:
        return None
    return key_digest(api_keys[0])


def _cookie(header: str, name: str) -> str:
    """Return the value of a cookie; empty when it is not there."""
    for pair in header.split(";"):
        key, _, value = pair.strip().partition("=")
        if key.lower() == name.lower():
            return value
    return ""
