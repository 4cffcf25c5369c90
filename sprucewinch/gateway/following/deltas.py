"""Deltas of the replica, and large items, on their way from one entry VM to another.

Owns the encoding of both and the calls that fetch them from a peer. Relies on `net.connection` for
the calls and on `state.replica` for the types. A call that brings nothing raises an error with its
reason; the caller counts and logs it.

A VM that asks says up to which size it wants items in the delta itself; larger ones are only named
there, and fetched one by one, compressed. So a server that leaves is known before a large
configuration has arrived that was written just before it. A VM of an older version states no size
and gets all in one answer.
"""

import zlib
from collections.abc import Callable
from typing import Optional
from urllib.parse import urlencode

import msgspec

from ...net.connection import Answer, NoAnswer, Patience, get
from ..state.replica import DeferredItem, Delta, Item, Removal

DELTA_PATH = "/v1/delta"
"""Path of the peer listener that answers deltas."""

ITEM_PATH = "/v1/item"
"""Path of the peer listener that answers a single item."""

LARGE_ITEM_BYTES = 16_384
"""Length of a value beyond which its item is fetched by itself, in bytes: 26 ms of a link of 5
Mbit/s. Backend servers' entries are under 1 kB."""

_PATIENCE = Patience(first_s=0.6, silence_s=0.6, most_s=10.0)
"""How long a delta of a peer may take, in seconds. Until the first byte, and in silence: short, so
that a change is in force within 2 s beside peers that fail (`test_gateway_following`). In all: a
whole delta of a VM of an older version, 1 MB at 1 Mbit/s."""

_ITEM_PATIENCE = Patience(first_s=2.0, silence_s=2.0, most_s=60.0)
"""How long a large item may take, in seconds. Longer than a delta, as all VMs may fetch it from
one: cut off together, they would all begin anew. 700 kB that do not compress reach 23 VMs from one
link of 10 Mbit/s within 30 s (`test_gateway_large_items`), with 10 s in all none in 90 s. A VM
that can ask the store does so long before (`follow_role`)."""

_COMPRESSION_LEVEL = 1
"""Level of zlib: 0.95 MB of routes become 80 kB in 4.7 ms of a core; level 6 takes twice as long
for a tenth less."""

_MAX_ITEM_BYTES = 32 * 1024 * 1024
"""Longest item that is taken from a peer, in bytes, as for any answer (`net._answer_reader`)."""

_OK = 200
"""HTTP status of an answer that holds what was asked for."""

_NOT_FOUND = 404
"""HTTP status of an answer to a request for an item that the peer does not hold."""


class DeltaUnavailableError(Exception):
    """A peer gave no delta or item; the message says why and what to look at."""


class ItemNotHeldError(DeltaUnavailableError):
    """A peer no longer holds an item that it named: the item went; ask for the next delta."""


class _DeltaMessage(msgspec.Struct, array_like=True):
    """A delta on the wire; a VM of an older version sends no deferred items."""

    items: tuple[Item, ...]
    removals: tuple[Removal, ...]
    at: int
    whole: bool
    deferred: tuple[DeferredItem, ...] = ()


async def fetch_delta(address: str, after: int) -> Delta:
    """Return what has changed at a peer after a revision; large items are deferred.

    Args:
        address: `IP:PORT` of its peer listener.
        after: Revision.

    Raises:
        DeltaUnavailableError: When it does not answer in time, or not with a delta.
    """
    query = urlencode({"after": after, "most": LARGE_ITEM_BYTES})
    answer = await _fetch(address, f"{DELTA_PATH}?{query}", _PATIENCE)
    try:
        return decode_delta(answer.body)
    except msgspec.MsgspecError as error:
        raise DeltaUnavailableError(
            f"not a delta ({error}): check which version that VM runs"
        ) from None


async def fetch_item(
    address: str, deferred: DeferredItem, on_bytes: Optional[Callable[[], None]] = None
) -> Item:
    """Return an item that a peer's delta left out, or a newer one of the same key.

    Args:
        address: `IP:PORT` of its peer listener.
        deferred: The item, as the delta named it.
        on_bytes: Called whenever bytes of it arrive.

    Raises:
        ItemNotHeldError: When the peer does not hold it any more.
        DeltaUnavailableError: When the peer does not answer in time, or not with an item.
    """
    query = urlencode({"key": deferred.key, "revision": deferred.revision})
    answer = await _fetch(address, f"{ITEM_PATH}?{query}", _ITEM_PATIENCE, on_bytes)
    try:
        item = decode_item(answer.body)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise DeltaUnavailableError(
            f"not an item ({error}): check which version that VM runs"
        ) from None
    if item.key != deferred.key or item.revision < deferred.revision:
        raise DeltaUnavailableError(
            f"{item.key} of revision {item.revision}, not what was asked for: restart that VM"
        )
    return item


async def _fetch(
    address: str,
    target: str,
    patience: Patience,
    on_bytes: Optional[Callable[[], None]] = None,
) -> Answer:
    answer = await get(address, target, patience, on_bytes=on_bytes)
    if isinstance(answer, NoAnswer):
        raise DeltaUnavailableError(f"{answer.reason}: check that the VM runs and that TCP passes")
    if answer.status == _NOT_FOUND:
        raise ItemNotHeldError(f"status {_NOT_FOUND}: it went meanwhile, nothing to do")
    if answer.status != _OK:
        raise DeltaUnavailableError(f"status {answer.status}, not {_OK}: read that VM's own lines")
    return answer


def encode_delta(delta: Delta) -> bytes:
    """Return a delta as bytes for a peer; deferred items go only to a peer that asked for it."""
    fields = tuple(delta) if delta.deferred else tuple(delta)[:-1]
    return msgspec.msgpack.encode(fields)


def decode_delta(data: bytes) -> Delta:
    """Return the delta that a peer sent.

    Raises:
        msgspec.MsgspecError: When the bytes are not a delta.
    """
    message = msgspec.msgpack.decode(data, type=_DeltaMessage)
    return Delta(message.items, message.removals, message.at, message.whole, message.deferred)


def encode_item(item: Item) -> bytes:
    """Return an item as compressed bytes for a peer.

    Compressed, as all VMs may fetch it over the sender's link at once: 74 VMs take 6 MB instead of
    70 MB of a link of 200 Mbit/s, 0.2 s instead of 2.8 s (from the sizes at `_COMPRESSION_LEVEL`).
    """
    return zlib.compress(msgspec.msgpack.encode(item), _COMPRESSION_LEVEL)


def decode_item(data: bytes) -> Item:
    """Return the item that a peer sent.

    Raises:
        zlib.error: When the bytes are not compressed, or too many.
        msgspec.MsgspecError: When they are not an item.
    """
    expander = zlib.decompressobj()
    packed = expander.decompress(data, _MAX_ITEM_BYTES)
    if not expander.eof:
        raise zlib.error(f"cut short, or over {_MAX_ITEM_BYTES} bytes")
    return msgspec.msgpack.decode(packed, type=Item)
