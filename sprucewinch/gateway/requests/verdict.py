"""Decides what an answer of a backend server proves about its request.

The answer is the server's own answer to the request, or it proves that the request did not run, or
it proves neither. The inputs are the whole answer, the request's id and the platform's header
names. A server that states that it did not run the request, or that it is not the intended one,
proves that the request did not run. An answer to another request, or a success without a signature,
proves nothing. Any other answer is the server's own.

A promise to a caller that its request did not run may rest only on what the server itself states.
The verdict is logged in `sends` of the event `request`. The tests are in
tests/test_gateway_pipeline.py (`SpoiltAnswers`, `Ends`).
"""

from typing import NamedTuple

from ...net.connection import Answer
from ..header_names import HeaderNames
from ..statements.statement import SUCCESS_STATUSES
from .client_request import ANSWERED, MISDIRECTED, SHED, Verdict

BAD_REQUEST_STATUS = 400
"""HTTP status of an answer to a request that no server would run, by the HTTP standard."""

MISDIRECTED_STATUS = 421
"""HTTP status of an answer from a server that the request was not meant for, by the HTTP
standard."""


class AnswerJudgement(NamedTuple):
    """The verdict on an answer.

    Args:
        verdict: What the answer proves about whether the request ran.
        cause: Cause of the verdict, for the log.
    """

    verdict: Verdict
    cause: str


def judge_answer(answer: Answer, names: HeaderNames, request_id: str) -> AnswerJudgement:
    """Return what an answer proves about whether its request ran.

    Args:
        answer: A whole answer.
        names: Names of headers.
        request_id: The request's id; empty when it has none.
    """
    if answer.status == MISDIRECTED_STATUS:
        # This precedes the check of the not-run header: the address now belongs to another server,
        # and the short pause of a full server would send requests there again every 50 ms.
        return AnswerJudgement(Verdict.NOT_RUN, MISDIRECTED)
    if answer.header(names.not_run) is not None and answer.status == BAD_REQUEST_STATUS:
        return AnswerJudgement(Verdict.ANSWERED, "malformed")
    if answer.header(names.not_run) is not None:
        return AnswerJudgement(Verdict.NOT_RUN, f"{SHED}-{answer.status}")
    if request_id and answer.header(names.request_id) != request_id:
        return AnswerJudgement(Verdict.UNKNOWN, "answer-to-another")
    if answer.status in SUCCESS_STATUSES and not answer.header(names.signature):
        return AnswerJudgement(Verdict.UNKNOWN, "unsigned")
    return AnswerJudgement(Verdict.ANSWERED, ANSWERED)
