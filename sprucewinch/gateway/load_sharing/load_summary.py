"""The message in which a VM tells others what backend servers have stated to it.

A row is what one process of a server stated in an answer: the requests that it holds, its pace and
the age of the statement. Only what the sender heard itself is sent, and nothing is passed on, so no
statement returns to its origin or is told twice as two. The process is named by a hash of the
server's id and incarnation: a row on an earlier process of a server has another name, and a message
of `MAX_ROWS` rows fits into `MAX_SUMMARY_BYTES`, which is below the least packet size of common
networks.

`sent_ms` is the sender's monotonic clock, from which the receiver tells how late a message arrives
(`sender_clocks`); `sender` names the sender's process, as that clock starts anew with its host.

Owns the message, its bounds and the name of a process; relies on nothing. Tests:
`test_gateway_load_summary`, `test_formats`.
"""

from typing import Optional

import msgspec

from ..._hash import hash32
from ..resources import BackendEntry

MAX_SUMMARY_BYTES = 1_200
"""Largest size of a message, in bytes."""

MAX_ROWS = 78
"""Largest number of rows: as many of `_MAX_ROW_BYTES` as fit beside the 24 bytes before them."""

MAX_HELD = 65_535
"""Largest number of requests in a row; a server that holds more is full all the same."""

MAX_AGE_MS = 65_535
"""Largest age in a row, in milliseconds, far beyond the age at which a row is of use."""

MAX_PACE_PERCENT = 10_000
"""Largest pace in a row, in per cent of the usual time of work."""

_PERCENT = 100
"""Pace of a server at which work takes its usual time, in per cent."""


class LoadRow(msgspec.Struct, array_like=True, frozen=True):
    """What one process of a backend server stated to the sender.

    Args:
        process: Hash of the server's id and incarnation, see `process_key`.
        held: Requests that it held, running and waiting.
        pace_percent: Its pace, in per cent of the usual time of work; 0 if it stated none.
        age_ms: Age of the statement when the message was sent, in milliseconds.
    """

    process: int
    held: int
    pace_percent: int
    age_ms: int


class LoadSummary(msgspec.Struct, array_like=True, frozen=True, tag="loads"):
    """What a VM heard of backend servers since its last message; the tag on the wire is `loads`.

    Args:
        sender: Random number of the sender's process.
        sent_ms: Time on the sender's monotonic clock, in milliseconds.
        rows: One row a server.
    """

    sender: int
    sent_ms: int
    rows: tuple[LoadRow, ...]


def process_key(backend: BackendEntry) -> int:
    """Return the name of a server's process in messages, in `[0, 2**32)`."""
    return hash32(f"{backend.id}|{backend.incarnation or 0}")


def load_row(backend: BackendEntry, held: int, pace: float, age_s: float) -> LoadRow:
    """Return the row of a statement.

    Args:
        backend: The server's entry.
        held: Requests that it held.
        pace: Its pace, as a factor on the usual time of work.
        age_s: Age of the statement, in seconds.
    """
    return LoadRow(
        process_key(backend),
        min(MAX_HELD, held),
        min(MAX_PACE_PERCENT, round(pace * _PERCENT)),
        min(MAX_AGE_MS, round(max(0.0, age_s) * 1000)),
    )


def is_valid(row: LoadRow) -> bool:
    """Return whether all figures of a row are within their ranges."""
    return (
        0 <= row.held <= MAX_HELD
        and 0 <= row.pace_percent <= MAX_PACE_PERCENT
        and 0 <= row.age_ms <= MAX_AGE_MS
    )


def stated_pace(row: LoadRow) -> Optional[float]:
    """Return the pace of a row as a factor; None if the server stated none."""
    return row.pace_percent / _PERCENT if row.pace_percent else None
