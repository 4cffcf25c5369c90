"""Handing requests on to other entry VMs, as the request path needs it."""

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
            What came of it; as for `BackendClient.run`.
        """
