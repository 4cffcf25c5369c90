"""Which backend servers may get new requests.

Question: why may a server not get a request now? Inputs: its entry, the evacuated data halls, its
rest and silence, whether it is ejected, its sends while cold and what it may get then; times are
monotonic, in seconds.

Rule, in two steps. When the store's items change, or a server says that it leaves: a server that
drains or leaves, or whose data hall is evacuated, is not offered at all. For each request: a server
that takes nothing by its own word, rests, is silent, is ejected, or is cold and has had its
allowance, is skipped. The first reason that holds is the answer. Two steps, as the first changes
rarely and the second with each request. The first, and what a server says itself, is asked again
before a request's first byte (`requests.sender`); the others are not, as the request itself counts
there, and a server that is skipped may have been tried all the same. Room is a question of its own,
as a request may wait for room but not for a server to come back. When every server of a request is
skipped, `server_selection` tries the first all the same that is not cold and takes requests by its
own word.

Constants: none here; those of `rest`, `outliers` and `cold_limit`. Shows in: the outcome
`no-server` and `not-offered` in `sends` of the event `request`, `paused` and `cold` of a VM's
state. Tests: `test_gateway_usability`, `test_gateway_cold_limit.WhatIsCold`,
`test_gateway_server_selection.SilentServers`, `test_gateway_pipeline.Departures`. Owns nothing;
relies on what `BackendServer` holds and on two functions that it is given.
"""

import enum
from collections.abc import Callable, Collection
from typing import Optional

from ..resources import BackendEntry
from .backend_server import BackendServer


class UnusableReason(enum.Enum):
    """Why a server gets no new request."""

    DRAINING = "draining"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    ASKED_REST = "asked-rest"
    LIMITED = "limited"
    RESTING = "resting"
    SILENT = "silent"
    EJECTED = "ejected"
    COLD = "cold"


def unlisted_reason(
    backend: BackendEntry, evacuated: Collection[str], *, leaving: bool = False
) -> Optional[UnusableReason]:
    """Return why a server is not offered to any request; None when it is.

    Args:
        backend: The store's entry.
        evacuated: Data halls that are evacuated.
        leaving: True when its process has said that it leaves.
    """
    if backend.draining:
        return UnusableReason.DRAINING
    if leaving:
        # Its entry may go on saying ready while the store is away, or be written again.
        return UnusableReason.LEAVING
    if backend.hall in evacuated:
        return UnusableReason.EVACUATED
    return None


def unusable_reason(
    server: BackendServer,
    now: float,
    ejected: Callable[[BackendServer, float], bool],
    cold_allowance: Callable[[BackendEntry], int],
) -> Optional[UnusableReason]:
    """Return why an offered server is skipped now; None when it is not.

    Args:
        server: The server.
        now: Monotonic time, in seconds.
        ejected: Returns whether a server is ejected at some time.
        cold_allowance: Returns how many requests a cold server may get from this VM in the
            window of `cold_limit`.
    """
    if server.stated.refused_until(now) is not None:
        rests = server.stated.rest_until > now
        return UnusableReason.ASKED_REST if rests else UnusableReason.LIMITED
    if server.rest.until > now:
        return UnusableReason.RESTING
    if server.started and server.silent(now):
        return UnusableReason.SILENT
    if ejected(server, now):
        return UnusableReason.EJECTED
    if server.cold_until > now and not server.cold_allowed(now, cold_allowance(server.backend)):
        return UnusableReason.COLD
    return None
