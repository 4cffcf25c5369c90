"""Handing requests on to other entry VMs, as the request path needs it."""

import abc

from ..backend import Attempt
from ..peer_pb2 import Member
from ..request import Request, Responder


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
            What came of it; as for `BackendClient.run`.
        """
