"""The room of a service in one region: slots, requests that it holds, and how old the figures are.

Placement between regions and admission use these totals; a single server is described by
`server_estimate`. Inputs are the estimates of the servers that may get requests. A region without a
recent figure is treated as usual and not as empty: `known_slots` tells how much of the room has
been reported recently. Tests: tests/test_gateway_estimates.py.
"""

from collections.abc import Iterable
from typing import NamedTuple

from .server_estimate import ServerEstimate


class ServiceRoom(NamedTuple):
    """The room of one service in one region.

    Args:
        slots: Slots of the servers that may get requests.
        held: Requests that those servers hold, running and waiting.
        free: Slots that are expected to be free.
        known_slots: Slots of the servers with a recent report.
        waiting: Requests that wait for a slot.
    """

    slots: int = 0
    held: float = 0.0
    free: float = 0.0
    known_slots: int = 0
    waiting: float = 0.0

    @property
    def utilization(self) -> float:
        """Return the requests held per slot; infinite for a service without slots."""
        return self.held / self.slots if self.slots else float("inf")


def sum_room(estimates: Iterable[ServerEstimate], max_age_s: float) -> ServiceRoom:
    """Return the room of the servers of one service and region.

    Args:
        estimates: What is expected of each server.
        max_age_s: Age up to which a report counts as recent, in seconds.
    """
    slots = known_slots = 0
    held = free = waiting = 0.0
    for estimate in estimates:
        slots += estimate.slots
        held += estimate.held
        free += estimate.free_slots
        waiting += max(0.0, estimate.held - estimate.slots)
        known_slots += estimate.slots if estimate.age_s <= max_age_s else 0
    return ServiceRoom(slots, held, free, known_slots, waiting)
