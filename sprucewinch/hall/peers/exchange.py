"""Exchange of members and documents between entry VMs, each sending only what is newer."""

import random
from collections.abc import Sequence

from ..node import Node
from ..store.documents import Revisioned
from .peer_pb2 import GONE, Document, DocumentRevision, ExchangeReply, ExchangeRequest, Member


class Exchange:
    """Makes and answers the messages by which views and documents spread.

    Args:
        node: This VM's view.
    """

    def __init__(self, node: Node) -> None:
        self.node = node

    def ask(self) -> ExchangeRequest:
        """Return a message that says what is known here."""
        return ExchangeRequest(
            known=self.node.membership.known(),
            members=[self.node.own],
            revisions=_revisions(self.node.shelf.revisions()),
        )

    def answer(self, message: ExchangeRequest, now: float) -> ExchangeReply:
        """Take over what is newer in a message, and answer with what is newer here."""
        self._take(message.members, message.documents, now)
        theirs = {row.key: row.revision for row in message.revisions}
        membership = self.node.membership
        return ExchangeReply(
            members=membership.newer_than(message.known),
            wanted_members=membership.older_than(message.known),
            documents=_documents(self.node.shelf.newer_than(theirs)),
            wanted_documents=self.node.shelf.older_than(theirs),
        )

    def learn(self, reply: ExchangeReply, now: float) -> ExchangeRequest | None:
        """Take over a reply.

        Returns:
            A message with what the other VM lacks; None when it lacks nothing.
        """
        self._take(reply.members, reply.documents, now)
        members = self.node.membership.select(reply.wanted_members)
        documents = _documents(self.node.shelf.select(reply.wanted_documents))
        if not members and not documents:
            return None
        message = self.ask()
        message.ClearField("members")
        message.members.extend([self.node.own, *(m for m in members if m is not self.node.own)])
        message.documents.extend(documents)
        return message

    def _take(self, members: Sequence[Member], documents: Sequence[Document], now: float) -> None:
        for member in members:
            self.node.membership.observe(member, now)
        for document in documents:
            self.node.shelf.offer(Revisioned(document.key, document.revision, document.value))


def choose_partners(node: Node, rng: random.Random, now: float, *, others: int = 2) -> list[str]:
    """Return the peer addresses to exchange with this round.

    Args:
        node: This VM's view.
        rng: Source of randomness.
        now: Monotonic time, in seconds.
        others: How many VMs of other data halls.

    Returns:
        All live VMs of this hall, so that slots are divided by a fresh list, and a few others.
    """
    members = [m for m in node.membership.live(now) if m is not node.own and m.state != GONE]
    near = [m.peer_address for m in members if m.hall == node.own.hall]
    far = [m.peer_address for m in members if m.hall != node.own.hall]
    chosen = near + rng.sample(far, min(others, len(far)))
    known = {m.peer_address for m in members}
    seeds = [s for s in node.settings.peers if s not in known]
    return chosen + rng.sample(seeds, min(1, len(seeds)))


def _revisions(revisions: dict[str, int]) -> list[DocumentRevision]:
    return [DocumentRevision(key=key, revision=value) for key, value in revisions.items()]


def _documents(documents: Sequence[Revisioned]) -> list[Document]:
    return [Document(key=d.key, revision=d.revision, value=d.value) for d in documents]
