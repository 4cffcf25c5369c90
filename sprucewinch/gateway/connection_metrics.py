"""Metrics of the connections of this VM's listeners.

Owns the names of the counters of connections that the listeners end, and of the gauges of what the
open ones read. Operators read them by name, so the names must not change. Relies on
`net._inbound` for the states of a connection.
"""

from collections import Counter
from collections.abc import Iterable

from ..net.connection_counts import ConnectionCounts, ListenerConnection, ReadState
from .events import EventLog


class ConnectionMetrics(ConnectionCounts):
    """Counts connections that the listeners end.

    Args:
        events: Receives the counters.
    """

    __slots__ = ("events",)

    def __init__(self, events: EventLog) -> None:
        self.events = events

    def count_timeout(self, state: ReadState) -> None:
        """Count a connection whose caller took too long for its next bytes."""
        self.events.count(f"connections_timed_out_{state.value}")

    def count_long_body(self) -> None:
        """Count a connection that closes as too much of an answered request's body came."""
        self.events.count("connections_closed_long_body")


def connection_gauges(connections: Iterable[ListenerConnection]) -> dict[str, float]:
    """Return the number of open connections by what they read, and of those that wait.

    Args:
        connections: The open connections of all listeners.
    """
    states: Counter[ReadState] = Counter()
    paused = 0
    for connection in connections:
        states[connection.read_state] += 1
        paused += connection.read_paused
    gauges: dict[str, float] = {f"connections_in_{s.value}": states[s] for s in ReadState}
    return {**gauges, "connections_paused": paused}
