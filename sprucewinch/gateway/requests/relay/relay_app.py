"""The ASGI application for requests that other entry VMs pass on.

A request is taken unless this VM has lost its own links, holds an older configuration than the
other VM, is stopping, or gets more requests than its capacity: then the other VM learns that it was
not taken, and asks another one. A request that is taken runs as one of this VM's own callers,
except that its key and quota are not checked again and that it is not passed on.

Relies on `requests.app` for the request itself and on `relay_message` for the headers. Owns the
number of requests in the last second. The counter is `relays_taken`. Tests: `test_gateway_relay`.
"""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from ....net.asgi import Receive, Send
from ....net.http_server import TARGET_KEY
from ...events import EventLog
from ...servers.links.server_links import ServerLinks
from ..app import GatewayApp
from ..sliding_count import SlidingCount
from .relay_message import (
    OUTCOME,
    RELAY_PREFIX,
    RelayedRequest,
    RelayOutcome,
    read_request,
)

_WINDOW_S = 1.0
"""Window over which requests are counted, in seconds."""


class RelayApp:
    """Serves requests of other VMs.

    Args:
        app: Serves this VM's own callers.
        links: State of this VM's links.
        events: Counts the requests.
        monotonic: Source of monotonic time, in seconds.
        requests_per_s: Capacity of this VM; 0 when unknown.
    """

    def __init__(
        self,
        app: GatewayApp,
        links: ServerLinks,
        events: EventLog,
        *,
        monotonic: Callable[[], float],
        requests_per_s: int,
    ) -> None:
        self.app = app
        self.links = links
        self.events = events
        self.monotonic = monotonic
        self.requests_per_s = requests_per_s
        self.taken = SlidingCount(_WINDOW_S)

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one request."""
        relayed = read_request(scope["headers"])
        if not await self._takes(relayed):
            await _refuse(send)
            return
        self.events.count("relays_taken")
        self.taken.add(self.monotonic())
        target = scope.get(TARGET_KEY, scope["raw_path"]).removeprefix(RELAY_PREFIX.encode())
        await self.app.serve_relayed({**scope, TARGET_KEY: target}, receive, send, relayed)

    async def _takes(self, relayed: RelayedRequest) -> bool:
        """Return whether this VM takes one more request of another one."""
        if self.app.configuration_version < relayed.version:
            return False
        now = self.monotonic()
        busy = self.app.arrivals.count(now) + self.taken.count(now)
        if self.app.stopping or (self.requests_per_s and busy >= self.requests_per_s):
            return False
        return await self.links.settled()


async def _refuse(send: Send) -> None:
    """Answer that the request was not taken; the listener discards its body."""
    headers = [(b"content-length", b"0"), (OUTCOME.encode(), RelayOutcome.NOT_TAKEN.value.encode())]
    status = int(HTTPStatus.SERVICE_UNAVAILABLE)
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b""})
