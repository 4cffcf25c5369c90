"""The message by which VMs report servers' statements to each other.

A statement to one VM is of use to all. Without reports the others would each need a request of
their own to learn of it, and in a large fleet those requests are most of what a limited server
accepts for many seconds.
"""

from typing import Optional

import msgspec

MS_PER_S = 1000
"""Milliseconds in a second; ages in messages are in milliseconds."""


class StatementReport(msgspec.Struct, array_like=True, frozen=True, tag="stated"):
    """A statement of a backend server's process; its tag on the wire is `stated`.

    Args:
        server: Id of the server.
        incarnation: Incarnation of the process; 0 if unknown.
        age_ms: Time since the statement, in milliseconds.
        limit_per_s: Requests a second that it accepts from all VMs together; None for no limit.
        leaving: True if it is leaving.
    """

    server: str
    incarnation: int
    age_ms: int
    limit_per_s: Optional[float] = None
    leaving: bool = False
