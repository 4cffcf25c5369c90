"""Reads what a backend server states of itself in an answer: its load, limit, leaving and pause.

Only the process that was asked can state something of itself. An answer to another request, a
success without a signature, and an answer of another server (421) state nothing. A value that
cannot be read, or that is not an amount, counts as if its header were missing; the server's next
answer brings another one.

All rules that depend on a statement use this one value, so that they agree on whose statements
count and on which values are valid. Inputs are a complete answer, the platform's header names, the
id of the request, and the time of day in seconds. The only bound is `MAX_STATED_PAUSE_S`.
Statements show in the events `server-limit`, `server-leaving` and `server-asks-rest`. Tests:
tests/test_gateway_statements.py.
"""

import re
from email.utils import parsedate_to_datetime
from http import HTTPStatus
from typing import NamedTuple, Optional

from ...net.connection import Answer
from ..header_names import HeaderNames
from .load_report import LoadReport, parse_load

MAX_STATED_PAUSE_S = 300.0
"""Longest pause that a server may ask for at once, in seconds: one that asks for a day by mistake
gets requests again before its operators have given up on it."""

SUCCESS_STATUSES = range(200, 300)
"""HTTP status codes of success."""

_RETRY_AFTER_HEADER = "retry-after"
"""HTTP header in which a server that refuses a request asks for a pause."""

_KEEP_ALIVE_HEADER = "keep-alive"
_KEEP_ALIVE_PARAMETER = "timeout="
"""Parameter of the keep-alive header that holds the time, in seconds."""

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
"""A decimal number without sign or exponent."""

_LEAVING_VALUE = "1"
"""Value of the leaving header of a server that is leaving."""


class ServerStatement(NamedTuple):
    """What a backend server states of itself in one answer.

    Args:
        by_server: False for an answer that the asked process did not give; it states nothing.
        load: Its load; None if it states none.
        limit_per_s: Requests a second that it takes from all VMs together; None for no limit.
        leaving: True if it is leaving.
        retry_after_s: Time for which it asks this VM for no requests, in seconds; None if it does
            not ask.
        load_unreadable: True if it states a load, or a pace, that cannot be read.
    """

    by_server: bool = False
    load: Optional[LoadReport] = None
    limit_per_s: Optional[float] = None
    leaving: bool = False
    retry_after_s: Optional[float] = None
    load_unreadable: bool = False


NOTHING_STATED = ServerStatement()


def read_statement(
    answer: Answer, names: HeaderNames, request_id: str, wall: float
) -> ServerStatement:
    """Return what an answer states of its server.

    Args:
        answer: A complete answer.
        names: Names of headers.
        request_id: Id of the request that was sent; empty to accept any.
        wall: Time of day, in seconds since the epoch.
    """
    if not _is_own_answer(answer, names, request_id):
        return NOTHING_STATED
    return parse_statement(answer, names, wall)


def parse_statement(answer: Answer, names: HeaderNames, wall: float) -> ServerStatement:
    """Return what an answer states that the asked process is known to have given.

    Args:
        answer: A complete answer.
        names: Names of headers.
        wall: Time of day, in seconds since the epoch.
    """
    parsed_load = parse_load(answer.header(names.load))
    return ServerStatement(
        by_server=True,
        load=parsed_load.report,
        limit_per_s=_decimal(answer.header(names.limit)),
        leaving=(answer.header(names.leaving) or "").strip() == _LEAVING_VALUE,
        retry_after_s=_retry_after_s(answer, wall),
        load_unreadable=parsed_load.unreadable,
    )


def keep_alive_s(answer: Answer) -> float:
    """Return how long a server keeps a connection open, in seconds; infinite if it states none.

    An unreadable time is ignored without a log line: a connection that the server closes is
    replaced.
    """
    text = answer.header(_KEEP_ALIVE_HEADER) or ""
    for word in text.replace(" ", "").split(","):
        seconds = word.removeprefix(_KEEP_ALIVE_PARAMETER)
        if word.startswith(_KEEP_ALIVE_PARAMETER) and seconds.isdigit():
            return float(seconds)
    return float("inf")


def _is_own_answer(answer: Answer, names: HeaderNames, request_id: str) -> bool:
    if answer.status == HTTPStatus.MISDIRECTED_REQUEST:
        return False
    if request_id and answer.header(names.request_id) != request_id:
        return False
    if answer.status in SUCCESS_STATUSES:
        return bool(answer.header(names.signature))
    return True


def _decimal(text: Optional[str]) -> Optional[float]:
    stripped = text.strip() if text is not None else ""
    return float(stripped) if _DECIMAL.fullmatch(stripped) else None


def _retry_after_s(answer: Answer, wall: float) -> Optional[float]:
    text = answer.header(_RETRY_AFTER_HEADER)
    if text is None or answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    seconds = _decimal(text)
    if seconds is None:
        seconds = _until_date_s(text, answer.header("date"), wall)
    return min(seconds, MAX_STATED_PAUSE_S) if seconds else None


def _until_date_s(text: str, server_date: Optional[str], wall: float) -> Optional[float]:
    """Return the time until an HTTP date, in seconds; None if the text is not one.

    The time is counted from the server's date, if it states one, as its clock and this VM's differ.
    """
    until = _timestamp(text)
    if until is None:
        return None
    now = _timestamp(server_date) if server_date is not None else None
    return max(0.0, until - (wall if now is None else now))


def _timestamp(text: str) -> Optional[float]:
    try:
        return parsedate_to_datetime(text).timestamp()
    except (ValueError, OverflowError):
        # The text is not a date, so it states nothing, like a number that cannot be read.
        return None
