"""Encodes deltas of the replica and large items, and fetches them from other entry VMs.

Relies on `net.connection` for the calls and on `state.replica` for the types. A failed call raises
an error with its reason; the caller counts and logs it.

The requesting VM states the longest value that it accepts within the delta. Items with longer
values are only named there (deferred) and fetched one by one, compressed. A server's departure is
thus known before a large configuration that was written just before it has arrived. A VM of an
older version states no size and gets everything in one response.
"""

import zlib
from collections.abc import Callable
from typing import Optional
from urllib.parse import urlencode

import msgspec

from ...net.connection import Answer, NoAnswer, Patience, get
from ..state.replica import DeferredItem, Delta, Item, Removal

DELTA_PATH = "/v1/delta"
"""Path on the peer listener that serves deltas."""

ITEM_PATH = "/v1/item"
"""Path on the peer listener that serves a single item."""

MAX_INLINE_VALUE_BYTES = 16_384
"""Longest value that a delta contains, in bytes; an item with a longer one is deferred. It takes
26 ms on a link of 5 Mbit/s. Backend servers' entries are under 1 kB."""

_DELTA_TIMEOUT = Patience(first_s=0.6, silence_s=0.6, most_s=10.0)
"""Timeouts of a call for a delta, in seconds. Those for the first byte and between bytes are short,
so that a change is in force within 2 s although peers fail (`test_gateway_following`). The total
allows for a snapshot from a VM of an older version, 1 MB at 1 Mbit/s."""

_ITEM_TIMEOUT = Patience(first_s=2.0, silence_s=2.0, most_s=60.0)
"""Timeouts of a call for a large item, in seconds. They are longer than those of a delta, as all
VMs may fetch the item from one: if their calls timed out together, all would start again. 700 kB of
incompressible data reach 23 VMs from one link of 10 Mbit/s within 30 s
(`test_gateway_large_items`); with a total of 10 s none had it after 90 s. A VM that can reach the
store asks it long before (`follow_role`)."""

_COMPRESSION_LEVEL = 1
"""zlib level: it compresses 0.95 MB of routes to 80 kB in 4.7 ms of CPU time; level 6 takes twice
as long for 10 % less."""

_MAX_ITEM_BYTES = 32 * 1024 * 1024
"""Longest item accepted from a peer after decompression, in bytes; any response is limited to the
same length (`net._answer_reader`)."""

_OK = 200

_NOT_FOUND = 404
"""HTTP status of the response for an item that the peer does not hold."""


class DeltaUnavailableError(Exception):
    """A peer served no delta or item; the message gives the reason and the remedy."""


class ItemNotHeldError(DeltaUnavailableError):
    """A peer no longer holds an item that its delta named, as it was removed meanwhile.

    The next delta of the peer no longer names it.
    """


class _DeltaMessage(msgspec.Struct, array_like=True):
    """A delta on the wire; VMs of older versions send no deferred items."""

    items: tuple[Item, ...]
    removals: tuple[Removal, ...]
    at: int
    whole: bool
    deferred: tuple[DeferredItem, ...] = ()


async def fetch_delta(address: str, after: int) -> Delta:
    """Return a peer's changes after a revision, with large items deferred.

    Args:
        address: `IP:PORT` of its peer listener.
        after: Revision.

    Raises:
        DeltaUnavailableError: If it does not respond in time, or not with a delta.
    """
    query = urlencode({"after": after, "most": MAX_INLINE_VALUE_BYTES})
    answer = await _fetch(address, f"{DELTA_PATH}?{query}", _DELTA_TIMEOUT)
    try:
        return decode_delta(answer.body)
    except msgspec.MsgspecError as error:
        raise DeltaUnavailableError(
            f"response is not a delta ({error}): check which version the peer VM runs"
        ) from None


async def fetch_item(
    address: str, deferred: DeferredItem, on_bytes: Optional[Callable[[], None]] = None
) -> Item:
    """Return an item that a peer's delta deferred, or a newer one of the same key.

    Args:
        address: `IP:PORT` of its peer listener.
        deferred: The item, as the delta named it.
        on_bytes: Called whenever bytes of it arrive.

    Raises:
        ItemNotHeldError: If the peer no longer holds it.
        DeltaUnavailableError: If the peer does not respond in time, or not with the item.
    """
    query = urlencode({"key": deferred.key, "revision": deferred.revision})
    answer = await _fetch(address, f"{ITEM_PATH}?{query}", _ITEM_TIMEOUT, on_bytes)
    try:
        item = decode_item(answer.body)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise DeltaUnavailableError(
            f"response is not an item ({error}): check which version the peer VM runs"
        ) from None
    if item.key != deferred.key or item.revision < deferred.revision:
        raise DeltaUnavailableError(
            f"response holds {item.key} of revision {item.revision}, which was not requested: "
            "restart the peer VM"
        )
    return item


async def _fetch(
    address: str,
    target: str,
    timeout: Patience,
    on_bytes: Optional[Callable[[], None]] = None,
) -> Answer:
    answer = await get(address, target, timeout, on_bytes=on_bytes)
    if isinstance(answer, NoAnswer):
        raise DeltaUnavailableError(
            f"{answer.reason}: check that the peer VM runs and that TCP connections to it work"
        )
    if answer.status == _NOT_FOUND:
        raise ItemNotHeldError(f"status {_NOT_FOUND}: item was removed meanwhile, nothing to do")
    if answer.status != _OK:
        raise DeltaUnavailableError(
            f"status {answer.status}, expected {_OK}: see the log of the peer VM"
        )
    return answer


def encode_delta(delta: Delta) -> bytes:
    """Return a delta encoded for a peer.

    The field for deferred items is omitted when there are none, as VMs of older versions do not
    know it. Items are deferred only for a peer that states the longest value that it accepts.
    """
    fields = tuple(delta) if delta.deferred else tuple(delta)[:-1]
    return msgspec.msgpack.encode(fields)


def decode_delta(data: bytes) -> Delta:
    """Return the delta that a peer sent.

    Raises:
        msgspec.MsgspecError: If the bytes are not a delta.
    """
    message = msgspec.msgpack.decode(data, type=_DeltaMessage)
    return Delta(message.items, message.removals, message.at, message.whole, message.deferred)


def encode_item(item: Item) -> bytes:
    """Return an item encoded and compressed for a peer.

    It is compressed because all VMs may fetch it over the sender's link at once: 74 VMs receive
    6 MB instead of 70 MB, which a link of 200 Mbit/s transmits in 0.2 s instead of 2.8 s (computed
    from the sizes at `_COMPRESSION_LEVEL`).
    """
    return zlib.compress(msgspec.msgpack.encode(item), _COMPRESSION_LEVEL)


def decode_item(data: bytes) -> Item:
    """Return the item that a peer sent.

    Raises:
        zlib.error: If the bytes are not complete compressed data, or too long when decompressed.
        msgspec.MsgspecError: If they are not an item.
    """
    decompressor = zlib.decompressobj()
    encoded = decompressor.decompress(data, _MAX_ITEM_BYTES)
    if not decompressor.eof:
        raise zlib.error(f"compressed item truncated, or over {_MAX_ITEM_BYTES} bytes")
    return msgspec.msgpack.decode(encoded, type=Item)
