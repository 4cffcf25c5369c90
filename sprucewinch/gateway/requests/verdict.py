"""What an answer of a backend server proves."""

from typing import NamedTuple, Optional

from ...net.connection import Answer
from ..header_names import HeaderNames
from .client_request import Verdict

_BAD_REQUEST = 400
_MISDIRECTED = 421
_OK = range(200, 300)


class AnswerJudgement(NamedTuple):
    """The verdict on an answer.

    Args:
        verdict: What is certain.
        why: Cause, for the log.
    """

    verdict: Verdict
    why: str


class LoadReport(NamedTuple):
    """A backend server's word on its load."""

    running: int
    waiting: int
    slots: int


def judge_answer(answer: Answer, names: HeaderNames, request_id: str) -> AnswerJudgement:
    """Tell what an answer proves about a request.

    Args:
        answer: A whole answer.
        names: Names of headers.
        request_id: The request's id.
    """
    if answer.header(names.not_run) is not None and answer.status == _BAD_REQUEST:
        return AnswerJudgement(Verdict.ANSWERED, "malformed")
    if answer.header(names.not_run) is not None:
        return AnswerJudgement(Verdict.NOT_RUN, f"shed-{answer.status}")
    if answer.status == _MISDIRECTED:
        return AnswerJudgement(Verdict.NOT_RUN, "misdirected")
    if request_id and answer.header(names.request_id) != request_id:
        return AnswerJudgement(Verdict.UNKNOWN, "answer-to-another")
    if answer.status in _OK and not answer.header(names.signature):
        return AnswerJudgement(Verdict.UNKNOWN, "unsigned")
    return AnswerJudgement(Verdict.ANSWERED, "answered")


def load_report(answer: Answer, names: HeaderNames) -> Optional[LoadReport]:
    """Return the load that an answer tells; None when it tells none."""
    text = answer.header(names.load)
    if text is None:
        return None
    words = text.split(",")
    if len(words) != len(LoadReport._fields) or not all(word.strip().isdigit() for word in words):
        return None
    return LoadReport(*(int(word) for word in words))
