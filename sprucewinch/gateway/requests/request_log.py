"""Interface for recording the outcomes of requests.

`app` calls it and `decision_log` implements it. The module relies on the types in `client_request`.
"""

import abc

from .client_request import ClientRequest, Reply
from .outcome.process_end import ProcessEnd, StopOutcome


class RequestLog(abc.ABC):
    """Records the outcome of each request."""

    @abc.abstractmethod
    def replied(self, request: ClientRequest, reply: Reply, seconds: float) -> None:
        """Record a final answer.

        Args:
            request: The request.
            reply: Its answer.
            seconds: Time from its arrival to the answer, in seconds.
        """

    @abc.abstractmethod
    def caller_left(self, request: ClientRequest, seconds: float) -> None:
        """Record that a caller closed its connection before its answer.

        Args:
            request: The caller's request.
            seconds: Time from the request's arrival, in seconds.
        """

    @abc.abstractmethod
    def stopped(self, request: ClientRequest, outcome: StopOutcome, end: ProcessEnd) -> None:
        """Record that a stop of the process refuses a request or breaks it off.

        Args:
            request: The request.
            outcome: What becomes of it.
            end: Times of the stop.
        """
