import random
import unittest

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sprucewinch.config.configuration import Document
from sprucewinch.hall.peers.exchange import Exchange, choose_partners
from sprucewinch.hall.peers.membership import Membership
from sprucewinch.hall.peers.peer_pb2 import JOINING, SERVING, ExchangeReply, ExchangeRequest, Member
from sprucewinch.hall.store.documents import DocumentReplica, Revisioned
from tests.fakes import configure, example, node

SETTINGS = settings(max_examples=30, stateful_step_count=30, deadline=None)
HALLS = [("van-1", "lower-mainland"), ("van-1", "lower-mainland"), ("kel-1", "interior")]
DOCUMENT = Document(1, example())


def wire(message):
    """Return a message encoded and decoded, as a connection does."""
    return type(message).FromString(message.SerializeToString())


class Spreading(RuleBasedStateMachine):
    """Three VMs exchange over links that fail and recover; VMs restart without any documents.

    The oracle is the newest accepted revision and the revision that each process had in force.
    """

    replica_class = DocumentReplica

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.newest = 1
        self.incarnation = 1
        self.cut: set[frozenset[int]] = set()

    @initialize()
    def start(self) -> None:
        self.nodes = [self.make(index) for index in range(3)]
        self.seen = [0, 0, 0]
        configure(self.nodes[0], DOCUMENT)

    def make(self, index: int):
        hall, region = HALLS[index]
        made = node(self.now, self.incarnation, vm=f"vm{index}", hall=hall, region=region)
        made.documents = self.replica_class(made.in_force.accept)
        return made

    def exchange(self, a: int, b: int) -> None:
        if frozenset((a, b)) in self.cut:
            return
        one, other = Exchange(self.nodes[a]), Exchange(self.nodes[b])
        following: ExchangeRequest | None = one.make_request()
        for _ in range(2):
            if following is not None:
                reply: ExchangeReply = wire(other.handle_request(wire(following), self.now))
                following = one.handle_reply(reply, self.now)

    @rule(pair=st.permutations([0, 1, 2]))
    def two_exchange(self, pair: list[int]) -> None:
        self.now += 0.3
        self.exchange(pair[0], pair[1])

    @rule(index=st.integers(0, 2))
    def a_change_is_accepted(self, index: int) -> None:
        self.newest += 1
        configure(self.nodes[index], msgspec.structs.replace(DOCUMENT, revision=self.newest))

    @rule(index=st.integers(0, 2), back=st.integers(0, 3))
    def the_platform_shows_an_older_value(self, index: int, back: int) -> None:
        revision = max(1, self.newest - back)
        document = msgspec.structs.replace(DOCUMENT, revision=revision)
        value = msgspec.json.encode(document)
        held = self.nodes[index].documents
        held.offer(Revisioned("steer/configuration", revision, value))

    @rule(index=st.integers(0, 2), size=st.integers(0, 200))
    def a_truncated_value_arrives(self, index: int, size: int) -> None:
        value = msgspec.json.encode(DOCUMENT)[:size]
        self.nodes[index].documents.offer(Revisioned("steer/configuration", 999, value))

    @rule(index=st.integers(0, 2))
    def a_vm_is_replaced(self, index: int) -> None:
        self.incarnation += 1
        self.nodes[index] = self.make(index)
        self.seen[index] = 0

    @rule(pair=st.permutations([0, 1, 2]), cut=st.booleans())
    def a_link_fails_or_recovers(self, pair: list[int], cut: bool) -> None:
        link = frozenset(pair[:2])
        self.cut = self.cut | {link} if cut else self.cut - {link}

    @rule()
    def all_exchange(self) -> None:
        """With all links up, two rounds bring the newest revision held by any VM to all."""
        held, before = self.cut, max(n.revision for n in self.nodes)
        self.cut = set()
        for _ in range(2):
            for a, b in ((0, 1), (1, 2), (0, 2)):
                self.exchange(a, b)
        assert [n.revision for n in self.nodes] == [before] * 3
        self.cut = held

    @invariant()
    def revisions_never_decrease(self) -> None:
        for index, each in enumerate(getattr(self, "nodes", [])):
            assert each.revision >= self.seen[index]
            self.seen[index] = each.revision
            if each.topology is not None:
                assert each.topology.document.revision == each.revision


Spreading.TestCase.settings = SETTINGS
TestSpreading = Spreading.TestCase


class UncheckedReplica(DocumentReplica):
    """A wrong version: accepts the last document offered, however old."""

    def offer(self, document: Revisioned) -> bool:
        if not self.accept(document):
            return False
        self.documents[document.key] = document
        return True


class ReplicaCases(unittest.TestCase):
    def play(self, replica_class: type[DocumentReplica]) -> None:
        machine = type("Spread", (Spreading,), {"replica_class": replica_class})()
        machine.start()
        machine.a_change_is_accepted(0)
        machine.revisions_never_decrease()
        machine.the_platform_shows_an_older_value(0, 1)
        machine.revisions_never_decrease()

    def test_proof_fails_with_a_wrong_version(self) -> None:
        with self.assertRaises(AssertionError):
            self.play(UncheckedReplica)
        self.play(DocumentReplica)


class MembershipCases(unittest.TestCase):
    def member(self, vm: str, incarnation: int = 1, version: int = 1, **fields) -> Member:
        fields.setdefault("hall", "h")
        return Member(vm=vm, incarnation=incarnation, version=version, **fields)

    def table(self, state: int = SERVING) -> Membership:
        return Membership(self.member("me", 5, state=state))

    def test_newer_entries_replace_older_ones_only(self) -> None:
        table = self.table()
        self.assertTrue(table.update(self.member("a", 2, 3), 0.0))
        self.assertFalse(table.update(self.member("a", 2, 2), 1.0))
        self.assertFalse(table.update(self.member("a", 1, 9), 1.0))
        self.assertTrue(table.update(self.member("a", 3, 1), 1.0))

    def test_silent_members_are_not_live_and_then_dropped(self) -> None:
        table = self.table()
        table.update(self.member("a", state=SERVING), 0.0)
        self.assertEqual(len(table.live(3.0)), 2)
        self.assertEqual(len(table.live(3.1)), 1)
        self.assertIsNotNone(table.find("a"))
        table.drop_expired(61.0)
        self.assertIsNone(table.find("a"))

    def test_older_process_of_the_same_name_is_superseded(self) -> None:
        table = self.table()
        table.update(self.member("me", 4), 0.0)
        self.assertFalse(table.superseded)
        table.update(self.member("me", 6), 0.0)
        self.assertTrue(table.superseded)

    def test_new_process_with_a_slow_clock_takes_a_higher_incarnation(self) -> None:
        table = self.table(JOINING)
        table.update(self.member("me", 9), 0.0)
        self.assertEqual(table.own.incarnation, 10)
        self.assertFalse(table.superseded)

    def test_view_is_confirmed_only_when_all_holders_list_the_same(self) -> None:
        table = self.table()
        table.update(self.member("a", state=SERVING, hall_view="else"), 0.0)
        self.assertFalse(table.view_confirmed(0.0))
        view = table.slot_holders(0.0)
        self.assertEqual(view, ("a#1", "me#5"))

    def test_partners_are_all_of_the_hall_and_a_few_others(self) -> None:
        own = node()
        for index in range(20):
            hall = "van-1" if index < 3 else "kel-1"
            own.membership.update(
                self.member(f"m{index}", hall=hall, peer_address=f"127.0.0.1:{index + 1}"), 0.0
            )
        partners = choose_partners(own, random.Random(1), 0.0, others=2)
        self.assertEqual(len(partners), 5)
        self.assertLessEqual({"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}, set(partners))
