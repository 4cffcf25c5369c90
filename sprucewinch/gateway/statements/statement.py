"""Rule: what a backend server states of itself in an answer.

Question: which load, limit, leaving and rest does this answer state? Inputs: a whole answer, the
platform's header names, the id of the request, the time of day in seconds. Rule: only the process
that was asked speaks for itself. An answer to another request, an unsigned success and one of
another server (421) state nothing. A value that cannot be read, or that is no amount, states
nothing, as if its header were missing; the server's next answer brings another one.

Why so: each rule that follows a statement takes its part from this one value, so that all agree on
whose word counts and on what is no value.

Constants: `MOST_REST_S`. Shows in: events `server-limit`, `server-leaving`, `server-asks-rest`.
Tests: tests/test_gateway_statements.py.
"""

import re
from email.utils import parsedate_to_datetime
from http import HTTPStatus
from typing import NamedTuple, Optional

from ...net.connection import Answer
from ..header_names import HeaderNames

MOST_REST_S = 300.0
"""Longest rest that a server may ask for at once, in seconds: one that asks for a day by mistake
is asked again before its operators have given up on it."""

SUCCESS_STATUSES = range(200, 300)
"""HTTP statuses of success, by the HTTP standard."""

_REST_HEADER = "retry-after"
"""Header in which a server that turns a request away asks for rest, by the HTTP standard."""

_KEEP_ALIVE_HEADER = "keep-alive"
_KEEP_ALIVE_FIELD = "timeout="
"""Field of the keep-alive header that holds the time, in seconds."""

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?", re.ASCII)
"""A decimal number without sign or exponent."""

_LEAVES = "1"
"""Value of the header of a server that leaves."""


class LoadReport(NamedTuple):
    """The load that a backend server reports in an answer.

    Args:
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it can run at once.
    """

    running: int
    waiting: int
    slots: int


class ServerStatement(NamedTuple):
    """What a backend server states of itself in one answer.

    Args:
        by_server: False for an answer that is not the asked process's own; it states nothing.
        load: Its load; None when it states none.
        limit_per_s: Requests a second that it takes from all VMs together; None for no limit.
        leaving: True when it leaves.
        rest_s: Time for which it wants nothing from this VM, in seconds; None when it asks for no
            rest.
    """

    by_server: bool = False
    load: Optional[LoadReport] = None
    limit_per_s: Optional[float] = None
    leaving: bool = False
    rest_s: Optional[float] = None


NOTHING_STATED = ServerStatement()


def read_statement(
    answer: Answer, names: HeaderNames, request_id: str, wall: float
) -> ServerStatement:
    """Return what an answer states of its server.

    Args:
        answer: A whole answer.
        names: Names of headers.
        request_id: Id of the request that it answers.
        wall: Time of day, in seconds since the epoch.
    """
    if not _is_own_answer(answer, names, request_id):
        return NOTHING_STATED
    return statement_of(answer, names, wall)


def statement_of(answer: Answer, names: HeaderNames, wall: float) -> ServerStatement:
    """Return what an answer states that is known to be the asked process's own.

    Args:
        answer: A whole answer.
        names: Names of headers.
        wall: Time of day, in seconds since the epoch.
    """
    return ServerStatement(
        by_server=True,
        load=_load(answer.header(names.load)),
        limit_per_s=_decimal(answer.header(names.limit)),
        leaving=(answer.header(names.leaving) or "").strip() == _LEAVES,
        rest_s=_rest_s(answer, wall),
    )


def keep_alive_s(answer: Answer) -> float:
    """Return how long a server keeps a connection open, in seconds; infinite when it states none.

    An unreadable time is ignored without a log line: a connection that the server closes is
    replaced.
    """
    text = answer.header(_KEEP_ALIVE_HEADER) or ""
    for word in text.replace(" ", "").split(","):
        seconds = word.removeprefix(_KEEP_ALIVE_FIELD)
        if word.startswith(_KEEP_ALIVE_FIELD) and seconds.isdigit():
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


def _load(text: Optional[str]) -> Optional[LoadReport]:
    words = text.split(",") if text is not None else []
    if len(words) != len(LoadReport._fields) or not all(word.strip().isdigit() for word in words):
        return None
    return LoadReport(*(int(word) for word in words))


def _decimal(text: Optional[str]) -> Optional[float]:
    stripped = text.strip() if text is not None else ""
    return float(stripped) if _DECIMAL.fullmatch(stripped) else None


def _rest_s(answer: Answer, wall: float) -> Optional[float]:
    text = answer.header(_REST_HEADER)
    if text is None or answer.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    seconds = _decimal(text)
    if seconds is None:
        seconds = _until_date_s(text, answer.header("date"), wall)
    return min(seconds, MOST_REST_S) if seconds else None


def _until_date_s(text: str, stated_now: Optional[str], wall: float) -> Optional[float]:
    """Return the time until an HTTP date, in seconds; None for a text that is none.

    Counted from the server's own date where it states one: its clock and this VM's differ.
    """
    until = _timestamp(text)
    if until is None:
        return None
    now = _timestamp(stated_now) if stated_now is not None else None
    return max(0.0, until - (wall if now is None else now))


def _timestamp(text: str) -> Optional[float]:
    try:
        return parsedate_to_datetime(text).timestamp()
    except (ValueError, OverflowError):
        # No date: it states nothing, as a number that cannot be read.
        return None
