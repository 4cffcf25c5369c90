"""Decides which backend servers may get new requests.

There are two checks, because their inputs change at different rates. The first runs when an item
of the store changes or a server states that it is leaving: a server that is draining or leaving, or
whose data hall is evacuated, is not offered to any request. The second runs for each request: an
offered server is skipped if it declines requests itself (it asked for a pause, or its rate limit is
used up), is in back-off after failures, is silent, is ejected as an outlier, or is cold, or may be,
and has used up this VM's allowance. In both checks the first reason that holds is returned. Times
are monotonic, in seconds.

The first check and the server's own statements are evaluated again before the first byte of a
request is sent (`requests.sender`). The other conditions are not: the request itself counts
towards them by then, and a skipped server may have been tried on purpose. When every server of a
request is skipped, `server_selection` still tries the first one that is not cold and does not
decline requests itself. Room is checked elsewhere, as a request may wait for room but not for a
server to recover.

The module has no limits and no state of its own. It relies on the fields of `BackendServer`, on
the limits of `backoff`, `outliers` and `cold_limit`, and on two functions that the caller passes.
Results show in the outcome `no-server`, in `not-offered` among the `sends` of the event `request`,
and in `paused` and `cold` of a VM's state. Tests: `test_gateway_usability`,
`test_gateway_cold_limit.WhatIsCold`, `test_gateway_server_selection.SilentServers`,
`test_gateway_pipeline.Departures`.
"""

import enum
from collections.abc import Callable, Collection
from typing import Optional

from ..resources import BackendEntry
from .backend_server import BackendServer


class UnusableReason(enum.Enum):
    """Why a server gets no new requests."""

    DRAINING = "draining"
    LEAVING = "leaving"
    EVACUATED = "evacuated"
    ASKED_REST = "asked-rest"
    LIMITED = "limited"
    RESTING = "resting"
    SILENT = "silent"
    EJECTED = "ejected"
    COLD = "cold"


def not_offered_reason(
    backend: BackendEntry, evacuated: Collection[str], *, leaving: bool = False
) -> Optional[UnusableReason]:
    """Return why a server is not offered to any request; None if it is offered.

    Args:
        backend: The server's entry in the store.
        evacuated: Names of the evacuated data halls.
        leaving: True if the server's process has stated that it is leaving.
    """
    if backend.draining:
        return UnusableReason.DRAINING
    if leaving:
        # Its entry may still say ready while the store is unavailable, or be written again.
        return UnusableReason.LEAVING
    if backend.hall in evacuated:
        return UnusableReason.EVACUATED
    return None


def unusable_reason(
    server: BackendServer,
    now: float,
    ejected: Callable[[BackendServer, float], bool],
    cold_allowance: Callable[[BackendServer, float], int],
) -> Optional[UnusableReason]:
    """Return why an offered server is skipped now; None if it may get a request.

    Args:
        server: The server.
        now: Monotonic time, in seconds.
        ejected: Returns whether a server is ejected at a monotonic time, in seconds.
        cold_allowance: Returns how many requests this VM may send a server that is limited as a
            cold one within the window of `cold_limit`, at a monotonic time, in seconds.
    """
    if server.stated.declines_until(now) is not None:
        asked_pause = server.stated.pause_until > now
        return UnusableReason.ASKED_REST if asked_pause else UnusableReason.LIMITED
    if server.backoff.until > now:
        return UnusableReason.RESTING
    if server.started and server.silent(now):
        return UnusableReason.SILENT
    if ejected(server, now):
        return UnusableReason.EJECTED
    if server.limited_as_cold(now) and not server.cold_allowed(now, cold_allowance(server, now)):
        return UnusableReason.COLD
    return None
