"""Interface through which the parts of the gateway report events and counters.

Owns the interface, which `decision_log` implements. It is in the lowest layer, so that any part can
report what it decides without depending on the log. Relies on nothing.
"""

import abc
import contextlib
from typing import Any


class EventLog(abc.ABC):
    """Receives structured events about changes of state, and counts."""

    @abc.abstractmethod
    def state(self, event: str, **fields: Any) -> None:
        """Write a line about a change of the process's state.

        Args:
            event: Name of the event; operators and tools read it, so it must not change.
            **fields: Fields of the event: the inputs of the decision.
        """

    @abc.abstractmethod
    def count(self, counter: str) -> None:
        """Increment a counter by one.

        Args:
            counter: Name of the metric; operators and tools read it, so it must not change.
        """

    def loop_step(self, _step: str) -> contextlib.AbstractContextManager[None]:
        """Measure how long a step holds the event loop; see `telemetry.loop_holds`.

        Args:
            _step: Name of the step; operators read it, so it must not change.
        """
        return contextlib.nullcontext()


class NoEvents(EventLog):
    """Discards all events and counts; for parts that are used without a log."""

    def state(self, event: str, **fields: Any) -> None:
        """Discard an event."""

    def count(self, counter: str) -> None:
        """Discard a count."""
