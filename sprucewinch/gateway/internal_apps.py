"""Small ASGI applications for other VMs and operators: changes of the store, metrics, state.

Owns what is answered on the ports between VMs and for metrics. Relies on the replica for the
changes and on the functions it is given for texts. An adapter's own applications use `send_bytes`.
"""

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

from ..net.asgi import Receive, Send
from .following.deltas import DELTA_PATH, encode_delta
from .state.store_view import StoreView


async def send_bytes(send: Send, status: int, body: bytes, kind: str = "text/plain") -> None:
    """Send a whole answer.

    Args:
        send: ASGI's way to the caller.
        status: HTTP status.
        body: The body.
        kind: Its media type.
    """
    headers = [
        (b"content-type", kind.encode()),
        (b"content-length", b"%d" % len(body)),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


class DeltaApp:
    """Sends other VMs the changes of the store after a revision that they name.

    Args:
        store_view: What this VM holds of the store.
    """

    def __init__(self, store_view: StoreView) -> None:
        self.store_view = store_view

    async def __call__(self, scope: dict[str, Any], _receive: Receive, send: Send) -> None:
        """Serve one request."""
        after = parse_qs(scope["query_string"].decode("latin-1")).get("after", ["0"])[0]
        if scope["path"] != DELTA_PATH or not after.isdigit():
            await send_bytes(send, HTTPStatus.NOT_FOUND, b"")
            return
        delta = self.store_view.replica.since(int(after))
        await send_bytes(send, HTTPStatus.OK, encode_delta(delta), "application/msgpack")


class TextApp:
    """Shows texts that are made for each request.

    Args:
        texts: What makes the text of each path.
    """

    def __init__(self, texts: Mapping[str, Callable[[], str]]) -> None:
        self.texts = texts

    async def __call__(self, scope: dict[str, Any], _receive: Receive, send: Send) -> None:
        """Serve one request."""
        text = self.texts.get(scope["path"])
        if text is None:
            await send_bytes(send, HTTPStatus.NOT_FOUND, b"")
            return
        await send_bytes(send, HTTPStatus.OK, text().encode())
