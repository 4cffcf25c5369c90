"""What VMs report to each other of servers' statements.

Owns the message. What one VM hears is of use to all: the others need no request of their own to
find out, which in a large fleet are most of what a limited server takes for many seconds.
"""

from typing import Optional

import msgspec

MS_PER_S = 1000
"""Milliseconds in a second; ages in messages are in milliseconds."""


class StatementReport(msgspec.Struct, array_like=True, frozen=True, tag="stated"):
    """What a process of a backend server stated to a VM; its tag on the wire is `stated`.

    Args:
        server: Id of the server.
        incarnation: Which process of it; 0 when that is not known.
        age_ms: Time since it was stated, in milliseconds.
        limit_per_s: Requests a second that it takes from all VMs together; None for no limit.
        leaving: True when it leaves.
    """

    server: str
    incarnation: int
    age_ms: int
    limit_per_s: Optional[float] = None
    leaving: bool = False
