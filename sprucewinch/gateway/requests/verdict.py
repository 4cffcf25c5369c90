"""Rule: what an answer of a backend server proves about the request that it answers.

Question: is this the server's own answer to this request, proof that it did not run, or neither?
Inputs: the whole answer, the request's id, the platform's header names. Rule: a server that says
that it did not run a request, or that is another one, proves that it did not run; an answer to
another request or an unsigned success proves nothing; everything else is the server's own answer.

Why so: only what the server itself says may end in a promise to the caller. Constants: the
statuses. Shows in: event `request`, `sends`. Tests: tests/test_gateway_pipeline.py
(`SpoiltAnswers`, `Ends`).
"""

from typing import NamedTuple

from ...net.connection import Answer
from ..header_names import HeaderNames
from ..statements.statement import SUCCESS_STATUSES
from .client_request import ANSWERED, MISDIRECTED, SHED, Verdict

BAD_REQUEST_STATUS = 400
"""HTTP status of an answer to a request that no server would run, by the HTTP standard."""

MISDIRECTED_STATUS = 421
"""HTTP status of an answer from a server other than the one that was meant, by the HTTP
standard."""


class AnswerJudgement(NamedTuple):
    """The verdict on an answer.

    Args:
        verdict: What is certain.
        why: Cause, for the log.
    """

    verdict: Verdict
    why: str


def judge_answer(answer: Answer, names: HeaderNames, request_id: str) -> AnswerJudgement:
    """Return what an answer proves about a request.

    Args:
        answer: A whole answer.
        names: Names of headers.
        request_id: The request's id.
    """
    if answer.status == MISDIRECTED_STATUS:
        # Before the statement that it did not run: this server's address belongs to another one,
        # so a short pause, as for a full server, would ask there again every 50 ms.
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
