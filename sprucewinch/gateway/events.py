"""Events and counters, as the parts of the gateway that cause them use them.

Owns the interface; `decision_log` implements it. Stands at the bottom, so that a part may report
what it decides without knowing what writes the lines. Relies on nothing.
"""

import abc
from typing import Any


class EventLog(abc.ABC):
    """Takes structured lines for changes of state, and counts."""

    @abc.abstractmethod
    def state(self, event: str, **inputs: Any) -> None:
        """Write a line for a change of what the process is or holds.

        Args:
            event: Name of the event; others read it, so it stays.
            **inputs: What decided it, by name of the field.
        """

    @abc.abstractmethod
    def count(self, counter: str) -> None:
        """Raise a counter by one.

        Args:
            counter: Name of the metric; others read it, so it stays.
        """


class NoEvents(EventLog):
    """Drops everything; for a part that is used alone."""

    def state(self, event: str, **inputs: Any) -> None:
        """Drop a line."""

    def count(self, counter: str) -> None:
        """Drop a count."""
