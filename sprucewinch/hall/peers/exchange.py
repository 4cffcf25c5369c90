"""Anti-entropy between entry VMs: members and documents, of which each sends only newer versions.

`Exchange` makes and handles the messages of a round, and `choose_partners` selects the VMs that
take part. Neither owns state: the members belong to `membership`, the documents to the node's
`DocumentReplica`. Both reject versions that are not newer, so a lost or repeated message is
harmless.
"""

import random
from collections.abc import Iterable, Sequence

from ..node import Node
from ..store.documents import Revisioned
from .membership import Membership, version_of
from .peer_pb2 import (
    GONE,
    Document,
    DocumentRevision,
    ExchangeReply,
    ExchangeRequest,
    Known,
    Member,
)

MAX_OTHER_HALL_PARTNERS = 2
"""Most VMs of other halls in a round of exchange."""

_NO_VERSION = (0, 0)
"""Version of a member of which the other VM has no entry: lower than any that is sent."""


class Exchange:
    """Makes and handles the messages that distribute members and documents.

    Args:
        node: This VM's state.
    """

    def __init__(self, node: Node) -> None:
        self.node = node

    def make_request(self) -> ExchangeRequest:
        """Return a request with the versions held here and this VM's own entry."""
        return ExchangeRequest(
            known=_known(self.node.membership),
            members=[self.node.own],
            revisions=_revisions(self.node.documents.revisions()),
        )

    def handle_request(self, message: ExchangeRequest, now: float) -> ExchangeReply:
        """Store what is newer in a request; return what is newer here and which keys to send."""
        self._store(message.members, message.documents, now)
        theirs = {row.key: row.revision for row in message.revisions}
        membership = self.node.membership
        return ExchangeReply(
            members=_newer_than(membership, message.known),
            wanted_members=_older_than(membership, message.known),
            documents=_documents(self.node.documents.newer_than(theirs)),
            wanted_documents=self.node.documents.older_than(theirs),
        )

    def handle_reply(self, reply: ExchangeReply, now: float) -> ExchangeRequest | None:
        """Store what is newer in a reply.

        Returns:
            A message with the entries and documents that the other VM asked for; None when it
            asked for nothing that is held here.
        """
        self._store(reply.members, reply.documents, now)
        members = _select(self.node.membership, reply.wanted_members)
        documents = _documents(self.node.documents.select(reply.wanted_documents))
        if not members and not documents:
            return None
        message = self.make_request()
        message.ClearField("members")
        message.members.extend([self.node.own, *(m for m in members if m is not self.node.own)])
        message.documents.extend(documents)
        return message

    def _store(self, members: Sequence[Member], documents: Sequence[Document], now: float) -> None:
        for member in members:
            self.node.membership.update(member, now)
        for document in documents:
            self.node.documents.offer(Revisioned(document.key, document.revision, document.value))


def choose_partners(
    node: Node, rng: random.Random, now: float, *, others: int = MAX_OTHER_HALL_PARTNERS
) -> list[str]:
    """Return the peer addresses to exchange with this round.

    Args:
        node: This VM's state.
        rng: Source of randomness.
        now: Monotonic time, in seconds.
        others: Most VMs of other data halls.

    Returns:
        All live VMs of this hall, so that slots are divided by a current list; a random sample of
        the live VMs of other halls; and one random address of the setting `peers` that none of
        these members has, if there is one.
    """
    members = [m for m in node.membership.live(now) if m is not node.own and m.state != GONE]
    same_hall = [m.peer_address for m in members if m.hall == node.own.hall]
    other_halls = [m.peer_address for m in members if m.hall != node.own.hall]
    chosen = same_hall + rng.sample(other_halls, min(others, len(other_halls)))
    known = {m.peer_address for m in members}
    seeds = [address for address in node.settings.peers if address not in known]
    return chosen + rng.sample(seeds, min(1, len(seeds)))


def _known(membership: Membership) -> list[Known]:
    """Return the member versions held here."""
    return [
        Known(vm=m.vm, incarnation=m.incarnation, version=m.version) for m in membership.entries()
    ]


def _newer_than(membership: Membership, known: Iterable[Known]) -> list[Member]:
    """Return the entries held here that are newer than another VM's."""
    theirs = {k.vm: (k.incarnation, k.version) for k in known}
    return [m for m in membership.entries() if version_of(m) > theirs.get(m.vm, _NO_VERSION)]


def _older_than(membership: Membership, known: Iterable[Known]) -> list[str]:
    """Return the names of the members of which another VM has a newer entry."""
    wanted = []
    for k in known:
        member = membership.find(k.vm)
        if member is None or (k.incarnation, k.version) > version_of(member):
            wanted.append(k.vm)
    return wanted


def _select(membership: Membership, vms: Iterable[str]) -> list[Member]:
    """Return the entries of the named members; unknown names are skipped."""
    return [m for m in map(membership.find, vms) if m is not None]


def _revisions(revisions: dict[str, int]) -> list[DocumentRevision]:
    return [DocumentRevision(key=key, revision=value) for key, value in revisions.items()]


def _documents(documents: Sequence[Revisioned]) -> list[Document]:
    return [Document(key=d.key, revision=d.revision, value=d.value) for d in documents]
