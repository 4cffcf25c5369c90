"""To how many VMs, and to which, a summary of server loads goes.

A VM may spend `MAX_BYTES_PER_S` on summaries, those that it sends and those that it receives, for
any size of the fleet. It sends for a little less than half of that. As all VMs do the same and
spread their messages evenly, it receives no more than that on average:

- within a region each VM receives what the others of the region send on average;
- of what it sends, a VM gives other regions at most `_OTHER_REGIONS_FRACTION`, and a region with
  many VMs gives less each, in proportion to the VMs of all other regions for each of its own. So a
  region with few VMs is not flooded by a large one.

The number of recipients follows from the size of the message: a VM that hears of many servers tells
fewer VMs. The own region goes first, because most requests stay in it. The VMs of each group take
turns, in an order of hashes in which each VM begins at its own place, so that all are told equally
often. Members that are out of touch are passed over.

Inputs are the numbers of registered VMs, the size of a message in bytes and the time since the last
one in seconds. Owns the bounds and each group's turn; relies on no other module. Shows in
`load_summaries_sent`. Tests: `test_gateway_load_sharing_rules`.
"""

import bisect
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..._hash import hash64

MAX_BYTES_PER_S = 11_000
"""Bytes a second that a VM may spend on summaries in both directions: the fleet's bound on the
traffic of control at one VM."""

PACKET_OVERHEAD_BYTES = 28
"""Bytes of the headers of IPv4 and UDP before each message."""

_SENT_FRACTION = 0.45
"""Part of the bytes that is for sending. As much is received on average, and what a VM receives
within a few seconds varies by a tenth."""

_OTHER_REGIONS_FRACTION = 0.25
"""Part of the sent bytes that is for other regions, which send few requests to this region's
servers."""

_MAX_INTERVALS = 2.0
"""Time for which unused bytes are kept, in intervals; a VM that stood still does not catch up."""


class FleetSize(NamedTuple):
    """The registered VMs, as one of them sees them.

    Args:
        own_region: VMs of its region, without itself.
        other_regions: VMs of all other regions.
        regions: Number of regions with VMs, its own included.
    """

    own_region: int
    other_regions: int
    regions: int


class RecipientCounts(NamedTuple):
    """Numbers of recipients of one message; a fraction carries over to the next message."""

    own_region: float
    other_regions: float


def recipient_counts(fleet: FleetSize, summary_bytes: int, seconds: float) -> RecipientCounts:
    """Return to how many VMs a message may go.

    Args:
        fleet: The registered VMs.
        summary_bytes: Size of the message, in bytes.
        seconds: Time since the last message, in seconds.
    """
    sent_bytes = _SENT_FRACTION * MAX_BYTES_PER_S * seconds
    affordable = sent_bytes / (summary_bytes + PACKET_OVERHEAD_BYTES)
    if not fleet.other_regions:
        return RecipientCounts(min(float(fleet.own_region), affordable), 0.0)
    for_others = _OTHER_REGIONS_FRACTION * affordable
    others_per_own = fleet.other_regions / (fleet.own_region + 1)
    even_part = others_per_own / max(1, fleet.regions - 1)
    return RecipientCounts(
        min(float(fleet.own_region), affordable - for_others),
        min(float(fleet.other_regions), for_others * min(1.0, even_part)),
    )


def usable_seconds(seconds: float, interval_s: float) -> float:
    """Return the time for which a VM may send, of that since its last message, in seconds."""
    return min(seconds, _MAX_INTERVALS * interval_s)


class Turns:
    """The turn of the VMs of one group.

    Args:
        name: Name of this VM, whose place in the order is the first turn.
    """

    def __init__(self, name: str) -> None:
        self._last = hash64(name)
        self._fraction = 0.0
        self._order: list[tuple[int, str]] = []

    def set_names(self, names: Iterable[str]) -> None:
        """Replace the VMs of the group."""
        self._order = sorted((hash64(name), name) for name in names)

    def next(self, count: float, usable: Callable[[str], bool]) -> list[str]:
        """Return the VMs whose turn it is.

        Args:
            count: Number of VMs; a fraction carries over to the next call.
            usable: Returns whether a VM may be chosen.
        """
        wanted = count + self._fraction
        self._fraction = wanted % 1.0
        start = bisect.bisect_right(self._order, (self._last, "\uffff"))
        chosen: list[str] = []
        for place, name in self._order[start:] + self._order[:start]:
            if len(chosen) == int(wanted):
                break
            if usable(name):
                chosen.append(name)
                self._last = place
        return chosen
