"""The interface that records how requests end.

Owns the interface; `app` calls it and `decision_log` implements it. Relies on the
types of a request.
"""

import abc

from .client_request import ClientRequest, Reply


class RequestLog(abc.ABC):
    """Records the end of each request."""

    @abc.abstractmethod
    def replied(self, request: ClientRequest, reply: Reply, seconds: float) -> None:
        """Note a final answer.

        Args:
            request: The request.
            reply: Its answer.
            seconds: Time from its arrival to the answer.
        """

    @abc.abstractmethod
    def left(self, request: ClientRequest, seconds: float) -> None:
        """Note a caller that left before its answer.

        Args:
            request: Its request.
            seconds: Time from the request's arrival.
        """
