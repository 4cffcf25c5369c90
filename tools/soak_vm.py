"""One entry VM with a time of day that a file shifts; else the same as `platform/main.py`.

Owns the program that the soak starts in place of `platform/main.py`. The file's name is that of the
settings with the suffix `CLOCK_SUFFIX`; it holds seconds, and no file means no shift.
"""

import os
import sys

_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

if __name__ == "__main__":  # before the slow imports, in which a signal may well arrive
    sys.path += [_ROOT, os.path.join(_ROOT, "platform")]
    from start_signals import StartSignals

    SIGNALS = StartSignals()
    SIGNALS.take()

import contextlib  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import TYPE_CHECKING  # noqa: E402

if TYPE_CHECKING:
    from sprucewinch.clock import Clock

CLOCK_SUFFIX = ".clock"
"""Suffix of the file that holds the shift of the time of day, in seconds."""


def shifted_clock(offset_file: Path) -> "Clock":
    """Return the system's clocks with the time of day shifted as a file says."""
    from sprucewinch.clock import SystemClock

    class ShiftedClock(SystemClock):
        """The system's clocks, but for the time of day."""

        def wall(self) -> float:
            """Return the time of day, in seconds since the epoch."""
            offset = 0.0
            # Silence is right: no file means no shift, and a half-written one is read again.
            with contextlib.suppress(OSError, ValueError):
                offset = float(offset_file.read_text(encoding="utf-8"))
            return time.time() + offset

    return ShiftedClock()


def main() -> None:
    """Run until a signal stops the process."""
    from consortium import ConsortiumAdapter
    from main import SETTINGS_VARIABLE
    from node_settings import SettingsFile

    from sprucewinch import boot_time_loop, log
    from sprucewinch.gateway.daemon import Gateway

    path = Path(os.environ[SETTINGS_VARIABLE])
    log.configure_lines()
    file = SettingsFile(path)
    gateway = Gateway(
        file.settings,
        ConsortiumAdapter(),
        reread=file.reread,
        stop_asked=SIGNALS.stop_asked,
        clock=shifted_clock(path.with_suffix(CLOCK_SUFFIX)),
    )
    boot_time_loop.run(gateway.run())


if __name__ == "__main__":
    main()
