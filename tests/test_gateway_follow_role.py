"""`FollowRole`: each reason to follow the store, and the election of store followers."""

import random
import unittest

from sprucewinch.gateway.following.follow_role import (
    MAX_NOTICE_AGE_S,
    NOTICE_TIMEOUT_S,
    FollowReason,
    FollowRole,
    ProgressNotice,
)
from sprucewinch.gateway.membership.gossip import Gossip, Heartbeat, HeartbeatRow
from sprucewinch.gateway.resources import Member
from sprucewinch.gateway.state.outages import StoreOutages
from sprucewinch.gateway.state.replica import Delta
from sprucewinch.gateway.state.store_view import StoreView

_NOW = 100.0
_OTHERS = ("vm1", "vm2", "vm3", "vm4", "vm5")


class Role(unittest.TestCase):
    """One VM in a region with five others that are in touch and have more link bandwidth."""

    def setUp(self) -> None:
        self.view = StoreView(decoder=None)  # type: ignore[arg-type]
        self.gossip = Gossip("vm0", 1, random.Random(1), link_mbps=100)
        self.gossip.set_accepting(True)
        outages = StoreOutages(1.5)
        self.role = FollowRole("vm0", "east", self.gossip, self.view, outages, regions=1)
        for name in ("vm0", *_OTHERS):
            self.view.members[name] = Member(name, "z", "east", f"{name}:80", f"{name}:70")
        self._beat(1)

    def _beat(self, counter: int, *, linked: bool = True, accepts: bool = True) -> None:
        rows = tuple(HeartbeatRow(n, 1, counter, accepts, linked, 1000) for n in _OTHERS)
        self.gossip.receive(Heartbeat("vm1", 0, rows), _NOW)

    def _notice(self, revision: int = 0, age_ms: int = 0) -> bool:
        return self.role.receive(ProgressNotice("vm1", revision, age_ms), _NOW)


class Reasons(Role):
    def test_peers_keep_it_up_to_date(self) -> None:
        self.assertFalse(self._notice())
        self.assertIs(self.role.decide(_NOW), FollowReason.PEERS_CURRENT)
        self.assertFalse(self.role.follows_store(_NOW))

    def test_no_notice_came(self) -> None:
        self.assertIs(self.role.decide(_NOW), FollowReason.NO_NOTICE)
        self.assertTrue(self.role.follows_store(_NOW))

    def test_notices_stop(self) -> None:
        self._notice()
        self.assertFalse(self.role.follows_store(_NOW + NOTICE_TIMEOUT_S))
        late = _NOW + NOTICE_TIMEOUT_S + 0.01
        self.assertIs(self.role.decide(late), FollowReason.NO_NOTICE)

    def test_notices_of_an_old_answer_are_ignored(self) -> None:
        self._notice(age_ms=int(MAX_NOTICE_AGE_S * 1000) + 1)
        self.assertIs(self.role.decide(_NOW), FollowReason.NO_NOTICE)

    def test_it_stays_behind(self) -> None:
        self.assertTrue(self._notice(revision=7))
        self.assertFalse(self.role.follows_store(_NOW + 0.7))
        self.assertIs(self.role.decide(_NOW + 0.9), FollowReason.BEHIND)
        self.assertEqual(self.role.announcing_peer, "vm1")

    def test_it_catches_up(self) -> None:
        self._notice(revision=7)
        self.view.apply(Delta((), (), 7), _NOW)
        self.role.check_caught_up()
        self.assertIs(self.role.decide(_NOW + 0.9), FollowReason.PEERS_CURRENT)
        self.assertIsNone(self.role.announcing_peer)

    def test_a_peer_fails(self) -> None:
        self._notice()
        self.role.record_peer_failure(_NOW)
        self.assertIs(self.role.decide(_NOW), FollowReason.PEER_FAILED)


class Election(Role):
    def test_the_vms_with_most_bandwidth_are_elected(self) -> None:
        self.assertFalse(self.role.is_elected(_NOW))
        self.gossip.link_mbps = 2000
        self.assertTrue(self.role.is_elected(_NOW))
        self._notice()
        self.assertIs(self.role.decide(_NOW), FollowReason.ELECTED)

    def test_it_is_elected_when_the_store_answers_no_other(self) -> None:
        self._beat(2, linked=False)
        self.assertTrue(self.role.is_elected(_NOW))
        self.assertFalse(self.role.is_preferred_follower(_NOW))

    def test_it_is_elected_when_no_other_accepts_callers(self) -> None:
        self._beat(2, accepts=False)
        self.assertTrue(self.role.is_elected(_NOW))
        self.assertTrue(self.role.is_preferred_follower(_NOW))

    def test_it_is_not_elected_while_the_store_does_not_answer_it(self) -> None:
        self.gossip.link_mbps = 2000
        self.role.set_store_reachable(False)
        self.assertFalse(self.role.is_elected(_NOW))
        self.assertTrue(self.role.is_preferred_follower(_NOW))


if __name__ == "__main__":
    unittest.main()
