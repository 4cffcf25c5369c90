"""Signals of a running process: what each does, from a moment on to the end of the process.

Owns the handlers from `take` on; those of the time before belong to the program that starts the
process. Relies on the running event loop for reading a socket alone: the handlers of the loop
itself fall back to the signals' defaults when the loop drops them, and a signal at that moment
would end the process with a failure. Tests: `test_process_signals`.
"""

import asyncio
import signal
import socket
from collections.abc import Callable, Mapping
from typing import Any

_READ_BYTES = 64
"""Signals that are read at once, one byte each."""


class ProcessSignals:
    """Calls the action of a signal, between two steps of the event loop.

    Args:
        actions: What each signal does.
    """

    def __init__(self, actions: Mapping[signal.Signals, Callable[[], None]]) -> None:
        self.actions = actions
        self._sockets: tuple[socket.socket, ...] = ()

    def take(self) -> None:
        """Set the handlers; the running event loop calls the actions from now on."""
        received, wakeup = self._sockets = socket.socketpair()
        received.setblocking(False)
        wakeup.setblocking(False)
        signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
        asyncio.get_running_loop().add_reader(received, self._act, received)
        for number in self.actions:
            signal.signal(number, _noted)

    def ignore(self) -> None:
        """Ignore the signals from now on, so that one at the end of a stop changes nothing."""
        for number in self.actions:
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)
        received, wakeup = self._sockets
        asyncio.get_running_loop().remove_reader(received)
        received.close()
        wakeup.close()

    def _act(self, received: socket.socket) -> None:
        for number in received.recv(_READ_BYTES):
            # The interpreter writes the numbers of signals that others handle, too.
            action = self.actions.get(signal.Signals(number))
            if action is not None:
                action()


def _noted(_number: int, _frame: Any) -> None:
    """Handle a signal whose number the interpreter has written to the wake-up socket."""
