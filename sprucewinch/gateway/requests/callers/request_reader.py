"""Reads a caller's request from its ASGI scope.

The module decides which headers are forwarded, and where a request's id, deadline, object key and
API key are found. Only the digest of an API key is kept: the key itself is neither forwarded nor
stored. The module relies on the platform's header names, and on `outcome.hold_time` for how long a
caller waits. It does not read the body and refuses nothing.
"""

from typing import Any, NamedTuple, Optional

from ....net.http_server import TARGET_KEY
from ....net.request import end_to_end
from ...header_names import HeaderNames
from ...workspaces.keys import key_digest
from ..client_request import ClientRequest
from ..outcome.hold_time import WaitSource, caller_wait

_NOT_FORWARDED_TO_SERVERS = frozenset(("content-length", "accept-encoding"))
"""Headers that this VM sets itself for a server, or that would cause the answer to be encoded."""


class ReadRequest(NamedTuple):
    """A request read from its ASGI scope.

    Args:
        request: The request.
        wait_source: Source of its caller's wait.
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
        """Return the request of an ASGI scope.

        Args:
            scope: Its ASGI scope.
            body: Its body, as far as it has been read.
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
            headers=self._forwarded(headers),
            body=body,
            arrived_at=arrived_at,
            deadline=arrived_at + wait.seconds,
            key=_cookie(first_by_name.get("cookie", ""), self.names.affinity),
            api_key=_digest(api_keys),
            deadline_stated=wait.source is WaitSource.STATED,
        )
        return ReadRequest(request, wait.source)

    def _forwarded(self, headers: list[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
        names = self.names
        own = (names.deadline_ms, names.expected, names.api_key, names.workspace)
        return tuple(
            (name, value)
            for name, value in end_to_end(headers)
            if name not in _NOT_FORWARDED_TO_SERVERS and name not in own
        )


def _digest(api_keys: list[str]) -> Optional[bytes]:
    """Return the digest of a request's API key; None for several, as they prove no workspace."""
    if len(api_keys) != 1 or not api_keys[0]:
        return None
    return key_digest(api_keys[0])


def _cookie(header: str, name: str) -> str:
    """Return the value of a cookie; empty when it is absent."""
    for pair in header.split(";"):
        key, _, value = pair.strip().partition("=")
        if key.lower() == name.lower():
            return value
    return ""
