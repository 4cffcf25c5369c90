"""One entry VM with clocks and links that files change; else the same as `platform/main.py`.

Owns the program that the soak starts in place of `platform/main.py`. The files' names are that of
the settings with the suffixes `CLOCK_SUFFIX` (time of day) and `SUSPENDED_SUFFIX` (time since boot,
as after suspensions that the steady clock did not count); each holds seconds, and no file means no
shift. The file of `server_links` names the fault of the links to backend servers.
"""

import os
import sys

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

if __name__ == "__main__":  # before the slow imports, in which a signal may well arrive
    sys.path += [_ROOT, os.path.join(_ROOT, "platform")]
    from start_signals import StartSignals

    SIGNALS = StartSignals()
    SIGNALS.take()

import asyncio  # noqa: E402
import contextlib  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import TYPE_CHECKING  # noqa: E402

if TYPE_CHECKING:
    from sprucewinch.clock import Clock

CLOCK_SUFFIX = ".clock"
"""Suffix of the file that holds the shift of the time of day, in seconds."""

SUSPENDED_SUFFIX = ".suspended"
"""Suffix of the file that holds how long the VM was suspended in all, in seconds."""

_READ_AGAIN_S = 0.05
"""Time after which the file of suspensions is read again, in seconds: each timer asks the clock."""


def shifted_clock(settings: Path) -> "Clock":
    """Return the system's clocks, shifted as the files beside some settings say."""
    from sprucewinch.clock import SystemClock, since_boot

    class ShiftedClock(SystemClock):
        """The system's clocks with their shifts."""

        def __init__(self) -> None:
            self.suspended_s = 0.0
            self.read_at = float("-inf")

        def monotonic(self) -> float:
            """Return the time since boot, suspensions included, in seconds."""
            now = since_boot()
            if now - self.read_at > _READ_AGAIN_S:
                self.read_at = now
                shift = _shift(settings.with_suffix(SUSPENDED_SUFFIX))
                self.suspended_s = max(self.suspended_s, shift)
            return now + self.suspended_s

        def wall(self) -> float:
            """Return the time of day, in seconds since the epoch."""
            return time.time() + _shift(settings.with_suffix(CLOCK_SUFFIX))

    return ShiftedClock()


def _shift(file: Path) -> float:
    """Return the seconds that a file holds; 0 without it."""
    # Silence is right: no file means no shift, and a half-written one is read again.
    with contextlib.suppress(OSError, ValueError):
        return float(file.read_text(encoding="utf-8"))
    return 0.0


def main() -> None:
    """Run until a signal stops the process."""
    from consortium import ConsortiumAdapter
    from main import SETTINGS_VARIABLE
    from node_settings import SettingsFile

    from sprucewinch import log
    from sprucewinch.gateway.daemon import Gateway
    from sprucewinch.net.address import parse_address
    from tools.server_links import ServerLinksLoop

    path = Path(os.environ[SETTINGS_VARIABLE])
    log.configure_lines()
    file = SettingsFile(path)
    clock = shifted_clock(path)
    gateway = Gateway(
        file.settings,
        ConsortiumAdapter(),
        reread=file.reread,
        stop_asked=SIGNALS.stop_asked,
        clock=clock,
    )
    _, store_port = parse_address(file.settings.store_address)
    with asyncio.Runner(
        loop_factory=lambda: ServerLinksLoop(path, store_port, clock.monotonic)
    ) as runner:
        runner.run(gateway.run())


if __name__ == "__main__":
    main()
