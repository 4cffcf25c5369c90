"""What an answer of a backend server proves."""

from typing import NamedTuple, Optional

from ...net.connection import Answer
from ..header_names import Names
from .client_request import Verdict

_BAD_REQUEST = 400
_MISDIRECTED = 421
_OK = range(200, 300)


class Judged(NamedTuple):
    """The verdict on an answer.

    Args:
        verdict: What is certain.
        why: Cause, for the log.
    """

    verdict: Verdict
    why: str


class Load(NamedTuple):
    """A backend server's word on its load."""

    running: int
    waiting: int
    slots: int


def judge(answer: Answer, names: Names, request_id: str) -> Judged:
    """Tell what an answer proves about a request.

    Args:
        answer: A whole answer.
        names: Names of headers.
        request_id: The request's id.
    """
    if answer.header(names.not_run) is not None and answer.status == _BAD_REQUEST:
        return Judged(Verdict.ANSWERED, "malformed")
    if answer.header(names.not_run) is not None:
        return Judged(Verdict.NOT_RUN, f"shed-{answer.status}")
    if answer.status == _MISDIRECTED:
        return Judged(Verdict.NOT_RUN, "misdirected")
    if request_id and answer.header(names.request_id) != request_id:
        return Judged(Verdict.UNKNOWN, "answer-to-another")
    if answer.status in _OK and not answer.header(names.signature):
        return Judged(Verdict.UNKNOWN, "unsigned")
    return Judged(Verdict.ANSWERED, "answered")


def load_of(answer: Answer, names: Names) -> Optional[Load]:
    """Return the load that an answer tells; None when it tells none."""
    text = answer.header(names.load)
    if text is None:
        return None
    words = text.split(",")
    if len(words) != len(Load._fields) or not all(word.strip().isdigit() for word in words):
        return None
    return Load(*(int(word) for word in words))
