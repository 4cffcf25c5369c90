"""The interface for forwarding a request to another entry VM.

`other_halls` and `at_most_once` rely on `PeerForwarder` instead of the network client.
`peers.peer_client` implements it over gRPC, fakes implement it in tests. The module owns no state.
"""

import abc

from ...net.request import Request, Responder
from ..peers.peer_pb2 import Member
from .backend import Attempt


class PeerForwarder(abc.ABC):
    """Forwards requests to other entry VMs."""

    @abc.abstractmethod
    async def forward(
        self, member: Member, request: Request, responder: Responder, *, home: bool
    ) -> Attempt:
        """Forward a request.

        Args:
            member: The entry VM that receives it.
            request: The request.
            responder: Receives the answer.
            home: True when the receiver is the home of the request's ticket and treats the request
                like one of its own callers; False when it may only use the slots of its hall.

        Returns:
            The result, as of `BackendClient.run`.

        Raises:
            BrokenAnswerError: When the answer broke off after its start was passed on.
        """
