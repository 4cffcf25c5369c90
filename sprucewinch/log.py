"""Structured logs: one line for each change of state, as key=value text or JSON.

The module owns the format and the destination of log lines. `state` and `trouble` are for the
daemon, `line` for the routed path, whose lines are already JSON. A slow reader of the routed path's
lines loses some and never delays a request; `_LineHandler` counts the dropped lines. The module
relies on `absl.logging`.
"""

import json
import logging as std_logging
import os
import shlex
from typing import Literal

from absl import flags, logging

LogFormat = Literal["text", "json"]


class _JsonFormatter(std_logging.Formatter):
    """Formats a line of key=value words as one JSON object."""

    def format(self, record: std_logging.LogRecord) -> str:
        message = record.getMessage()
        row: dict[str, str] = {
            "time": self.formatTime(record),
            "level": record.levelname.lower(),
            **parse_line(message),
        }
        return json.dumps(row)


class _TextFormatter(std_logging.Formatter):
    """Formats a line as key=value text."""

    def format(self, record: std_logging.LogRecord) -> str:
        level = record.levelname.lower()
        return f"time={self.formatTime(record)!r} level={level} {record.getMessage()}"


def parse_line(message: str) -> dict[str, str]:
    """Return the key=value words of a line; a line without any becomes the value of `message`."""
    try:
        words = shlex.split(message)
    except ValueError:
        # A library's line may contain an unpaired quote, so the whole line is kept as it is.
        return {"message": message}
    pairs = [word.split("=", 1) for word in words if "=" in word]
    return {key: value for key, value in pairs} if pairs else {"message": message}


def configure(log_format: LogFormat) -> None:
    """Send all logs to standard error in one format.

    Args:
        log_format: `text` or `json`.
    """
    flags.FLAGS(["sprucewinchd"])  # absl warns until its flags are parsed
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(_JsonFormatter() if log_format == "json" else _TextFormatter())
    logging.set_verbosity(logging.INFO)
    for name in ("uvicorn", "uvicorn.error", "hpack", "asyncio"):
        std_logging.getLogger(name).setLevel(std_logging.CRITICAL)


def state(line: str) -> None:
    """Log a change of state.

    Args:
        line: Words `key=value`, the first of them the event.
    """
    logging.info("%s", line)


def trouble(line: str) -> None:
    """Log a problem that an operator should investigate.

    Args:
        line: Words `key=value`, the first of them the event.
    """
    logging.warning("%s", line)


class _LineHandler(std_logging.Handler):
    """Writes whole lines to a descriptor; drops them rather than wait for a slow reader."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: std_logging.LogRecord) -> None:
        try:
            os.write(self.descriptor, record.getMessage().encode() + b"\n")
        except OSError:
            # The failure is not logged, since that line could not be written either.
            self.dropped += 1


def configure_lines(descriptor: int = 1) -> None:
    """Send lines that are already structured to a file descriptor, and never block on it.

    Args:
        descriptor: File descriptor; standard output by default.
    """
    flags.FLAGS(["sprucewinch"])
    logger = logging.get_absl_logger()
    logger.handlers = [_LineHandler(descriptor)]
    logger.propagate = False
    logging.set_verbosity(logging.INFO)
    for name in ("uvicorn", "uvicorn.error", "asyncio"):
        std_logging.getLogger(name).setLevel(std_logging.CRITICAL)


def line(text: str) -> None:
    """Log a line that is already structured."""
    logging.info("%s", text)
