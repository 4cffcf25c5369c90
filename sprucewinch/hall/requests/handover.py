"""The interface through which a request goes to another entry VM.

`PeerLink` is what `other_halls` and `at_most_once` need; `peers.peer_client` implements it over
gRPC, fakes implement it in tests. The module owns no state; the filters rely on it instead of the
network client.
"""

import abc

from ...net.request import Request, Responder
from ..peers.peer_pb2 import Member
from .backend import Attempt


class PeerLink(abc.ABC):
    """Hands requests on to other entry VMs."""

    @abc.abstractmethod
    async def hand_on(
        self, member: Member, request: Request, responder: Responder, *, home: bool
    ) -> Attempt:
        """Hand a request on.

        Args:
            member: The entry VM that gets it.
            request: The request.
            responder: Where the answer goes.
            home: True when the receiver is the ticket's home and decides as an entry VM does.

        Returns:
            The result; as for `BackendClient.run`.

        Raises:
            BrokenAnswerError: When the answer broke off after its start was passed on.
        """
