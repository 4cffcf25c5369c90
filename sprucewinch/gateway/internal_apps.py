"""ASGI applications for other VMs and for operators: changes of the store, metrics, state.

Owns the answers on the port between VMs and on the metrics port, and the encoded form of the large
items that peers request. Relies on the replica for the changes and on the functions passed to it
for texts. The applications of a platform's adapter also use `send_bytes`.
"""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Optional
from urllib.parse import parse_qsl

from ..net.asgi import Receive, Send
from ..net.http_server import AsgiApp
from .events import EventLog, NoEvents
from .following.deltas import DELTA_PATH, ITEM_PATH, encode_delta, encode_item
from .shared_text import SharedText
from .state.replica import Item
from .state.store_view import StoreView

_MAX_CACHED_ITEMS = 4
"""Number of encoded items cached for peers. Large items are configurations and policies, and peers
request only the newest of them."""


async def send_bytes(send: Send, status: int, body: bytes, media_type: str = "text/plain") -> None:
    """Send a complete answer.

    Args:
        send: ASGI's send function.
        status: HTTP status.
        body: Body of the answer.
        media_type: Media type of the body.
    """
    headers = [
        (b"content-type", media_type.encode()),
        (b"content-length", b"%d" % len(body)),
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})


_MAX_REVISION_DIGITS = 19
"""Digits of the largest revision of the store, which is a signed 64-bit number."""


class EncodedItems:
    """Cache of encoded items, as all VMs of a region request the same ones."""

    def __init__(self) -> None:
        self._cache: dict[str, tuple[int, bytes]] = {}

    def encode(self, item: Item) -> bytes:
        """Return an item encoded for a peer."""
        revision, data = self._cache.get(item.key, (0, b""))
        if revision == item.revision:
            return data
        data = encode_item(item)
        self._cache.pop(item.key, None)
        self._cache[item.key] = (item.revision, data)
        if len(self._cache) > _MAX_CACHED_ITEMS:
            del self._cache[next(iter(self._cache))]
        return data


class DeltaApp:
    """Serves other VMs the changes of the store after a given revision, and single large items.

    Args:
        store_view: This VM's copy of the store.
        events: Measures how long an answer holds the event loop; None to measure none.
    """

    def __init__(self, store_view: StoreView, events: Optional[EventLog] = None) -> None:
        self.store_view = store_view
        self.events = events or NoEvents()
        self.encoded = EncodedItems()

    async def __call__(self, scope: dict[str, Any], _receive: Receive, send: Send) -> None:
        """Serve one request."""
        query = dict(parse_qsl(scope["query_string"].decode("latin-1")))
        with self.events.loop_step("delta"):
            body = self._answer(scope["path"], query)
        if body is None:
            await send_bytes(send, HTTPStatus.NOT_FOUND, b"")
            return
        await send_bytes(send, HTTPStatus.OK, body, "application/msgpack")

    def _answer(self, path: str, query: Mapping[str, str]) -> Optional[bytes]:
        """Return the body of the answer; None if the path or the item is unknown."""
        if path == DELTA_PATH:
            return self._delta(query.get("after", "0"), query.get("most"))
        if path == ITEM_PATH:
            return self._item(query.get("key", ""), query.get("revision", "0"))
        return None

    def _delta(self, after: str, most: Optional[str]) -> Optional[bytes]:
        revision = _whole_number(after)
        max_value_bytes = None if most is None else _whole_number(most)
        if revision is None or (most is not None and max_value_bytes is None):
            return None
        return encode_delta(
            self.store_view.replica.since(revision, max_value_bytes=max_value_bytes)
        )

    def _item(self, key: str, revision: str) -> Optional[bytes]:
        """Return an item of the given revision or a newer one, encoded; None if there is none."""
        item = self.store_view.replica.items.get(key)
        min_revision = _whole_number(revision)
        if item is None or min_revision is None or item.revision < min_revision:
            return None
        return self.encoded.encode(item)


def _whole_number(text: str) -> Optional[int]:
    """Parse a number in a query; None if it is malformed or too long for any revision."""
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_REVISION_DIGITS:
        return None
    return int(text)


class PeerApp:
    """Serves the listener for other VMs: requests that they pass on, and changes of the store.

    Args:
        relay_prefix: Path below which requests are passed on.
        relay: Serves these.
        deltas: Serves all others.
    """

    def __init__(self, relay_prefix: str, relay: AsgiApp, deltas: DeltaApp) -> None:
        self.relay_prefix = f"{relay_prefix}/"
        self.relay = relay
        self.deltas = deltas

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Serve one request."""
        app = self.relay if scope["path"].startswith(self.relay_prefix) else self.deltas
        await app(scope, receive, send)


class TextApp:
    """Serves texts that are rendered when they are requested.

    Args:
        texts: The text of each path.
    """

    def __init__(self, texts: Mapping[str, SharedText]) -> None:
        self.texts = texts

    async def __call__(self, scope: dict[str, Any], _receive: Receive, send: Send) -> None:
        """Serve one request."""
        text = self.texts.get(scope["path"])
        if text is None:
            await send_bytes(send, HTTPStatus.NOT_FOUND, b"")
            return
        await send_bytes(send, HTTPStatus.OK, await text.render())
