"""Deltas of the replica on their way from one entry VM to another."""

from typing import Optional

import msgspec

from ...net.connection import NoAnswer, get
from ..state.replica import Delta, Item, Removal

DELTA_PATH = "/v1/delta"
_TIMEOUT_S = 0.6
_OK = 200


async def fetch_delta(address: str, after: int) -> Optional[Delta]:
    """Ask a peer what has changed after a revision; None when it does not answer.

    Args:
        address: `IP:PORT` of its peer listener.
        after: Revision.
    """
    answer = await get(address, f"{DELTA_PATH}?after={after}", _TIMEOUT_S)
    if isinstance(answer, NoAnswer) or answer.status != _OK:
        return None
    try:
        return decode_delta(answer.body)
    except msgspec.MsgspecError:
        return None


def encode_delta(delta: Delta) -> bytes:
    """Return a delta as bytes for a peer."""
    return msgspec.msgpack.encode(delta)


def decode_delta(data: bytes) -> Delta:
    """Return the delta that a peer sent.

    Raises:
        msgspec.MsgspecError: When it is none.
    """
    items, removals, at, whole = msgspec.msgpack.decode(
        data, type=tuple[tuple[Item, ...], tuple[Removal, ...], int, bool]
    )
    return Delta(items, removals, at, whole)
