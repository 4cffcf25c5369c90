"""Deltas of the replica on their way from one entry VM to another.

Owns the encoding of a delta and the call that fetches one from a peer. Relies on `net.connection`
for the call and on `state.replica` for the types. A call that gives no delta raises an error with
its reason; the caller counts and logs it.
"""

import msgspec

from ...net.connection import NoAnswer, get
from ..state.replica import Delta, Item, Removal

DELTA_PATH = "/v1/delta"
"""Path of the peer listener that answers deltas."""

_TIMEOUT_S = 0.6
"""Longest time for a whole answer of a peer, in seconds. A guess, never measured; with it a change
is in force within 2 s beside peers that fail (`test_gateway_following`)."""

_OK = 200
"""HTTP status of an answer that holds a delta."""


class DeltaUnavailableError(Exception):
    """A peer gave no delta; the message says why and what to look at."""


async def fetch_delta(address: str, after: int) -> Delta:
    """Return what has changed at a peer after a revision.

    Args:
        address: `IP:PORT` of its peer listener.
        after: Revision.

    Raises:
        DeltaUnavailableError: When it does not answer in time, or not with a delta.
    """
    answer = await get(address, f"{DELTA_PATH}?after={after}", _TIMEOUT_S)
    if isinstance(answer, NoAnswer):
        raise DeltaUnavailableError(f"{answer.reason}: check that the VM runs and that TCP passes")
    if answer.status != _OK:
        raise DeltaUnavailableError(f"status {answer.status}, not {_OK}: read that VM's own lines")
    try:
        return decode_delta(answer.body)
    except msgspec.MsgspecError as error:
        raise DeltaUnavailableError(
            f"not a delta ({error}): check which version that VM runs"
        ) from None


def encode_delta(delta: Delta) -> bytes:
    """Return a delta as bytes for a peer."""
    return msgspec.msgpack.encode(delta)


def decode_delta(data: bytes) -> Delta:
    """Return the delta that a peer sent.

    Raises:
        msgspec.MsgspecError: When the bytes are not a delta.
    """
    items, removals, at, whole = msgspec.msgpack.decode(
        data, type=tuple[tuple[Item, ...], tuple[Removal, ...], int, bool]
    )
    return Delta(items, removals, at, whole)
