import random
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sprucewinch.config.configuration import Pool
from sprucewinch.hall.slots import SlotShare, member_list_digest, slot_owner

POOL = Pool(hall="h", service="s", servers=("127.0.0.1:1", "127.0.0.1:2"), slots=4)
SETTINGS = settings(max_examples=100, stateful_step_count=40, deadline=None)
STEP_S = 0.5
LIVENESS_TIMEOUT_S = 3.0


class _Vm:
    """A simulated VM of the hall: it receives the others' lists, ticks, and may be frozen."""

    def __init__(self, name: str, now: float, share_class: type[SlotShare]) -> None:
        self.name = name
        self.share = share_class(name)
        self.started = now
        self.heard: dict[str, tuple[float, str]] = {}
        self.view = ""
        self.frozen = False

    def members(self, now: float) -> tuple[str, ...]:
        live = [n for n, (at, _) in self.heard.items() if now - at <= LIVENESS_TIMEOUT_S]
        joined = [self.name] if now - self.started >= self.share.takeover_delay_s else []
        return tuple(sorted(live + joined))

    def tick(self, now: float) -> None:
        members = self.members(now)
        view = member_list_digest(members)
        others = [n for n in members if n != self.name]
        confirmed = all(self.heard[n][1] == view for n in others)
        self.share.renew(members, (POOL,), now, confirmed=confirmed)
        self.view = view

    def joined(self, now: float) -> bool:
        return now - self.started >= self.share.takeover_delay_s


class HallSlots(RuleBasedStateMachine):
    """VMs of a hall that start, are killed, or freeze past every time limit and resume.

    The invariant: the slots that running VMs may use on a server never add up to more than it has.
    """

    share_class = SlotShare

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.count = 0
        self.vms: list[_Vm] = []
        for _ in range(2):
            self.start_vm()

    def start_vm(self) -> None:
        self.count += 1
        self.vms.append(_Vm(f"vm{self.count}", self.now, self.share_class))

    @rule(steps=st.integers(1, 20), order=st.randoms(use_true_random=False))
    def time_passes(self, steps: int, order: object) -> None:
        for _ in range(steps):
            self.now += STEP_S
            running = [vm for vm in self.vms if not vm.frozen]
            order.shuffle(running)
            for vm in running:
                self.exchange(vm, running)
                vm.tick(self.now)
                self.check()

    def exchange(self, vm: _Vm, running: list[_Vm]) -> None:
        for other in running:
            if other is vm:
                continue
            if other.joined(self.now):
                vm.heard[other.name] = (self.now, other.view)
            if vm.joined(self.now):
                other.heard[vm.name] = (self.now, vm.view)

    @rule()
    def a_vm_starts(self) -> None:
        if len(self.vms) < 5:
            self.start_vm()

    @rule(index=st.integers(0, 4))
    def a_vm_is_killed(self, index: int) -> None:
        if len(self.vms) > 1:
            self.vms.pop(index % len(self.vms))

    @rule(index=st.integers(0, 4))
    def a_vm_freezes(self, index: int) -> None:
        self.vms[index % len(self.vms)].frozen = True

    @rule(index=st.integers(0, 4))
    def a_vm_wakes(self, index: int) -> None:
        """A VM that resumes may have to dispatch a request before its first tick."""
        self.vms[index % len(self.vms)].frozen = False
        self.check()

    @invariant()
    def check(self) -> None:
        for server in POOL.servers:
            used = [v.share.usable_slots(server, self.now) for v in self.vms if not v.frozen]
            assert sum(used) <= POOL.slots, used


HallSlots.TestCase.settings = SETTINGS
TestHallSlots = HallSlots.TestCase


class NoDelayShare(SlotShare):
    """A wrong version: claims slots as soon as its own list names it their owner."""

    def renew(self, members, pools, now, *, confirmed, finished=frozenset()) -> None:
        super().renew(members, pools, now, confirmed=True, finished=frozenset(self.members))
        self._claim_allowed_at = now
        self._claim_owned()


class NoExpiryShare(SlotShare):
    """A wrong version: still uses its old list after a pause."""

    def usable_slots(self, server: str, now: float) -> int:
        return sum(self._held.get(server, ()))


class WrongVersionsAreFound(unittest.TestCase):
    def play(self, share_class: type[SlotShare]) -> None:
        """Freeze one VM until the other has claimed its slots, then resume the first."""
        machine = type("Hall", (HallSlots,), {"share_class": share_class})()
        order = random.Random(1)
        machine.time_passes(20, order)
        machine.a_vm_freezes(0)
        machine.time_passes(20, order)
        machine.a_vm_wakes(0)
        machine.a_vm_starts()
        machine.time_passes(20, order)

    def test_proof_fails(self) -> None:
        for wrong in (NoDelayShare, NoExpiryShare):
            with self.subTest(wrong.__name__), self.assertRaises(AssertionError):
                self.play(wrong)

    def test_same_steps_hold_with_the_real_share(self) -> None:
        self.play(SlotShare)


class SlotCases(unittest.TestCase):
    def test_slots_go_round_the_members(self) -> None:
        for count in range(1, 7):
            members = tuple(f"vm{i}" for i in range(count))
            owners = [slot_owner("127.0.0.1:1", i, members) for i in range(4)]
            shares = [owners.count(member) for member in members]
            self.assertLessEqual(max(shares) - min(shares), 1)

    def test_lone_vm_holds_all_after_the_hold(self) -> None:
        share = SlotShare("a")
        for step in range(12):
            now = step * STEP_S
            share.renew(("a",), (POOL,), now, confirmed=True)
            held = share.usable_slots(POOL.servers[0], now)
            self.assertEqual(held, 4 if now >= share.takeover_delay_s else 0)

    def test_member_that_finished_is_not_waited_for(self) -> None:
        share = SlotShare("a")
        for step in range(12):
            share.renew(("a", "b"), (POOL,), step * STEP_S, confirmed=True)
        self.assertEqual(share.usable_slots(POOL.servers[0], 5.5), 2)
        share.renew(("a",), (POOL,), 6.0, confirmed=True, finished=frozenset("b"))
        self.assertEqual(share.usable_slots(POOL.servers[0], 6.0), 4)

    def test_server_that_is_added_is_used_at_once_by_its_owner(self) -> None:
        share = SlotShare("a")
        for step in range(12):
            share.renew(("a",), (POOL,), step * STEP_S, confirmed=True)
        more = Pool(hall="h", service="s", servers=(*POOL.servers, "127.0.0.1:3"), slots=4)
        share.renew(("a",), (more,), 6.0, confirmed=True)
        self.assertEqual(share.usable_slots("127.0.0.1:3", 6.0), 4)
