"""Signals of a running process: SIGTERM and SIGINT stop it, SIGHUP reloads its settings.

Owns the handlers from the moment the gateway runs to the end of the process; those of the time
before belong to the program that starts it. Relies on the running event loop.
"""

import asyncio
import signal
from collections.abc import Callable

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ProcessSignals:
    """Calls the handler of a signal, between two steps of the event loop.

    Args:
        on_stop: Called for SIGTERM and SIGINT.
        on_reload: Called for SIGHUP.
    """

    def __init__(self, on_stop: Callable[[], None], on_reload: Callable[[], None]) -> None:
        self.on_stop = on_stop
        self.on_reload = on_reload

    def take(self) -> None:
        """Set the handlers in the running event loop."""
        loop = asyncio.get_running_loop()
        for number in _STOP_SIGNALS:
            loop.add_signal_handler(number, self.on_stop)
        loop.add_signal_handler(signal.SIGHUP, self.on_reload)

    def ignore(self) -> None:
        """Ignore all of them from now on, so that a signal at the end of a stop changes nothing.

        The event loop drops its handlers when it closes, and the signals' defaults would end the
        process with a failure.
        """
        loop = asyncio.get_running_loop()
        for number in (*_STOP_SIGNALS, signal.SIGHUP):
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
