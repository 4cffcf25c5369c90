"""One entry VM whose time of day a file sets off; else the same as `platform/main.py`."""

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

CLOCK_SUFFIX = ".clock"


def main() -> None:
    """Run until told to stop."""
    from consortium import ConsortiumAdapter
    from main import SETTINGS_VARIABLE
    from node_settings import SettingsFile

    from sprucewinch import log
    from sprucewinch.clock import SystemClock
    from sprucewinch.gateway.daemon import Gateway

    path = Path(os.environ[SETTINGS_VARIABLE])
    offset_file = path.with_suffix(CLOCK_SUFFIX)

    class OffsetClock(SystemClock):
        """The machine's clocks, with a time of day that is as far off as the file says."""

        def wall(self) -> float:
            """Return the time of day, in seconds since the epoch."""
            offset = 0.0
            with contextlib.suppress(OSError, ValueError):
                offset = float(offset_file.read_text(encoding="utf-8"))
            return time.time() + offset

    log.configure_lines()
    file = SettingsFile(path)
    gateway = Gateway(
        file.settings,
        ConsortiumAdapter(),
        reread=file.reread,
        stop_asked=SIGNALS.stop_asked,
        clock=OffsetClock(),
    )
    asyncio.run(gateway.run())


if __name__ == "__main__":
    main()
