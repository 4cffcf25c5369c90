"""How requests end, as the callers' side reports it.

Owns the interface; `decision_log` implements it. Relies on the request's own types.
"""

import abc

from .client_request import ClientRequest, Reply


class RequestLog(abc.ABC):
    """Takes the end of each request."""

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
