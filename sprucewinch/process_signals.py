"""Signal handling of a running process, from the call of `take` to the end of the process.

`ProcessSignals` owns the handlers once `take` was called; until then they belong to the program
that starts the process. It uses the running event loop only to read a socket. The signal handlers
of asyncio's loop are not used: when the loop removes them, the signals' default actions return, and
a signal at that moment would end the process with a failure.

The time of a signal is taken in its handler, which runs between two steps of whatever the process
does; its action waits until the event loop is free. Tested by `tests.test_process_signals`.
"""

import asyncio
import signal
import socket
from collections.abc import Callable, Mapping
from typing import Any

from .clock import since_boot

_READ_BYTES = 64
"""Most bytes read at once from the wake-up socket; each is the number of one signal."""


class ProcessSignals:
    """Runs the action of a received signal as a callback of the event loop.

    Args:
        actions: Called for each signal.
        monotonic: Source of time, in seconds.

    Attributes:
        received_at: Monotonic time at which each signal came first, in seconds.
    """

    def __init__(
        self,
        actions: Mapping[signal.Signals, Callable[[], None]],
        *,
        monotonic: Callable[[], float] = since_boot,
    ) -> None:
        self.actions = actions
        self.monotonic = monotonic
        self.received_at: dict[signal.Signals, float] = {}
        self._sockets: tuple[socket.socket, ...] = ()

    def take(self) -> None:
        """Install the handlers; from now on the running event loop calls the actions."""
        received, wakeup = self._sockets = socket.socketpair()
        received.setblocking(False)
        wakeup.setblocking(False)
        signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
        asyncio.get_running_loop().add_reader(received, self._act, received)
        for number in self.actions:
            signal.signal(number, self._record)

    def ignore(self) -> None:
        """Ignore the signals from now on, so that one at the end of a shutdown has no effect."""
        for number in self.actions:
            signal.signal(number, signal.SIG_IGN)
        signal.set_wakeup_fd(-1)
        received, wakeup = self._sockets
        asyncio.get_running_loop().remove_reader(received)
        received.close()
        wakeup.close()

    def _record(self, number: int, _frame: Any) -> None:
        """Record the time; the interpreter has already written the number to the socket."""
        self.received_at.setdefault(signal.Signals(number), self.monotonic())

    def _act(self, received: socket.socket) -> None:
        for number in received.recv(_READ_BYTES):
            # The interpreter also writes the numbers of signals that are handled elsewhere.
            action = self.actions.get(signal.Signals(number))
            if action is not None:
                action()
