"""Quotas of the whole fleet: buckets, owners and leases, and the bound that always has to hold."""

import random
import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucewinch.gateway.membership.gossip import HEARTBEAT_TIMEOUT_S
from sprucewinch.gateway.quotas.bucket import GRANT_RETURNABLE_S, GRANT_VALID_S, QuotaBucket
from sprucewinch.gateway.quotas.leases import LeaseGrant, QuotaLease, asking_groups
from sprucewinch.gateway.quotas.owners import MAX_PARTS, Owner, QuotaOwners
from sprucewinch.gateway.quotas.parts import QuotaParts
from sprucewinch.gateway.quotas.quota import Quota, QuotaLimit
from sprucewinch.gateway.quotas.quotas import QuotaEnd
from sprucewinch.gateway.resources import Member, Workspace
from sprucewinch.gateway.settings import Bounds
from sprucewinch.gateway.workspaces.workspace_quota import quota_limit, workspace_quota
from sprucewinch.retry import RetryAfterSchedule
from standins.virtual import VirtualLoop, pass_time, run_virtual
from tools.quota_model.fleet import ModelFleet, ModelVm

WIDE = Bounds(quota_window_s=5.0, quota_over=0.1, quota_slack=20.0)
STRICT = Bounds(quota_window_s=5.0)
SMALL = Workspace("small", (), rate_per_s=8, burst=8)
LARGE = Workspace("large", (), rate_per_s=181, burst=181)
SMALL_QUOTA = workspace_quota(SMALL, WIDE)
LARGE_QUOTA = workspace_quota(LARGE, WIDE)


def allowed_in_window(workspace: Workspace, bounds: Bounds) -> float:
    """Return the bound on the requests that may reach servers in any window."""
    usual = workspace.rate_per_s * bounds.quota_window_s + workspace.burst
    return usual * (1 + bounds.quota_over) + bounds.quota_slack


def lease() -> QuotaLease:
    """Return an empty lease."""
    return QuotaLease(RetryAfterSchedule(random.Random(1)))


class Buckets(unittest.TestCase):
    def test_it_refills_by_its_part_and_no_more(self) -> None:
        bucket = QuotaBucket(quota_limit(LARGE, WIDE), 0.5, 0.0)
        first = bucket.take(1000, 0.0)
        self.assertLess(first, 20)
        self.assertAlmostEqual(bucket.take(1000, 0.1), 11, delta=1)
        self.assertEqual(bucket.take(1000, 0.1), 0)
        full = bucket.take(10_000, 1000.0)
        self.assertAlmostEqual(full, quota_limit(LARGE, WIDE).capacity / 2, delta=1)

    def test_an_empty_one_says_when_to_ask_again(self) -> None:
        bucket = QuotaBucket(quota_limit(SMALL, WIDE), 0.2, 0.0)
        bucket.take(1000, 0.0)
        wait_s = bucket.wait_s(0.0)
        self.assertEqual(bucket.take(1, wait_s - 0.02), 0)
        self.assertEqual(bucket.take(1, wait_s + 0.02), 1)

    def test_a_part_below_one_request_gives_none(self) -> None:
        bucket = QuotaBucket(quota_limit(SMALL, WIDE), 0.01, 0.0)
        self.assertEqual(bucket.take(1, 1000.0), 0)
        self.assertEqual(bucket.wait_s(1000.0), 2.0)

    def test_bounds_without_a_margin_lower_the_rate(self) -> None:
        limit = quota_limit(LARGE, STRICT)
        self.assertLess(limit.rate_per_s, LARGE.rate_per_s + LARGE.burst / 5)
        self.assertGreater(limit.capacity, 1)

    def test_a_lower_limit_caps_the_content(self) -> None:
        bucket = QuotaBucket(quota_limit(LARGE, WIDE), 1.0, 0.0)
        lower = quota_limit(LARGE._replace(rate_per_s=1, burst=1), WIDE)
        bucket.resize(lower, 1.0, 100.0)
        self.assertLessEqual(bucket.take(1000, 100.0), lower.capacity)

    @settings(max_examples=300)
    @given(
        st.floats(0.5, 500),
        st.floats(0, 500),
        st.floats(0, 0.5),
        st.floats(0, 50),
        st.lists(st.tuples(st.floats(0.001, 2.0), st.integers(1, 200)), max_size=60),
    )
    def test_what_is_given_and_held_stays_below_the_bound(
        self, rate: float, burst: float, over: float, slack: float, asks: list[tuple[float, int]]
    ) -> None:
        """Any sequence of asks, each grant used as late as it may be, stays below the bound."""
        bounds = Bounds(quota_window_s=5.0, quota_over=over, quota_slack=slack)
        workspace = Workspace("w", (), rate_per_s=rate, burst=burst)
        bucket = QuotaBucket(quota_limit(workspace, bounds), 1.0, 0.0)
        now, given = 0.0, []
        for pause, count in asks:
            now += pause
            given.append((now, bucket.take(count, now)))
        reach = bounds.quota_window_s + GRANT_RETURNABLE_S
        for start, _ in given:
            most = sum(count for at, count in given if start <= at <= start + reach)
            self.assertLessEqual(most, allowed_in_window(workspace, bounds) + 1e-6)


class WorstCase(unittest.TestCase):
    def test_two_starts_in_a_window_with_all_grants_used_as_late_as_allowed(self) -> None:
        for workspace in (SMALL, LARGE):
            limit = quota_limit(workspace, WIDE)
            bucket = QuotaBucket(limit, 1.0, -1000.0)
            given = bucket.take(100_000, 0.0)
            for hundredth in range(1, int((WIDE.quota_window_s + GRANT_RETURNABLE_S) * 100) + 1):
                now = hundredth / 100
                if hundredth in (100, 200):
                    bucket = QuotaBucket(limit, 1.0, now)
                given += bucket.take(100_000, now)
            bound = allowed_in_window(workspace, WIDE)
            self.assertLessEqual(given, bound)
            self.assertGreater(given, 0.9 * bound)


class Fleets(unittest.TestCase):
    """Owners as several VMs see them."""

    def members(self, count: int, halls: int = 6) -> dict[str, Member]:
        return {
            f"vm{n}": Member(f"vm{n}", f"h{n % halls}", f"r{n % halls // 2}", "", f"10.0.0.{n}:1")
            for n in range(count)
        }

    def owners(self, members: dict[str, Member], name: str, gone: set[str] = frozenset()) -> Any:
        return QuotaOwners(
            lambda: members,
            lambda vm, _now: vm not in gone,
            regions={f"h{n}": f"r{n // 2}" for n in range(6)},
            name=name,
            started_at=-100.0,
        )

    def test_all_vms_see_the_same_and_parts_add_up(self) -> None:
        members = self.members(75)
        seen = {self.owners(members, name).of("w", 40.0, 0.0) for name in ("vm0", "vm7", "vm74")}
        self.assertEqual(len(seen), 1)
        [found] = seen
        self.assertEqual(len(found), MAX_PARTS)
        self.assertAlmostEqual(sum(owner.part for owner in found), 1.0)

    def test_a_small_limit_has_one_part_a_region(self) -> None:
        found = self.owners(self.members(75), "vm0").of("w", 9.0, 0.0)
        halls = {owner.hall for owner in found}
        self.assertEqual({f"r{int(hall[1]) // 2}" for hall in halls}, {"r0", "r1", "r2"})
        self.assertEqual(len(self.owners(self.members(75), "vm0").of("w", 1.0, 0.0)), 1)

    def test_an_unreachable_owner_is_replaced_by_the_next(self) -> None:
        members = self.members(75)
        before = self.owners(members, "vm0").of("w", 40.0, 0.0)
        after = self.owners(members, "vm0", {before[0].name}).of("w", 40.0, 0.0)
        self.assertEqual(after[0].hall, before[0].hall)
        self.assertNotEqual(after[0].name, before[0].name)
        self.assertLess(after[0].part, before[0].part)
        self.assertEqual(after[1:], before[1:])

    def test_a_vm_that_has_just_started_takes_no_vm_for_unreachable(self) -> None:
        members = self.members(12)
        new = QuotaOwners(
            lambda: members,
            lambda _vm, _now: False,
            regions={f"h{n}": f"r{n // 2}" for n in range(6)},
            name="vm3",
            started_at=10.0,
        )
        self.assertEqual(new.of("w", 40.0, 10.1), self.owners(members, "vm0").of("w", 40.0, 0.0))
        alone = new.of("w", 40.0, 10.0 + HEARTBEAT_TIMEOUT_S + 1)
        self.assertEqual([owner.name for owner in alone], ["vm3"])

    @settings(max_examples=100)
    @given(st.lists(st.integers(0, 4), min_size=12, max_size=30), st.integers(0, 99))
    def test_vms_that_are_partitioned_hold_no_more_than_the_whole(
        self, groups: list[int], workspace: int
    ) -> None:
        """Each VM reaches only its own group; the parts that all of them hold are summed."""
        members = self.members(len(groups))
        quota = Quota(f"w{workspace}", QuotaLimit(40.0, 40.0, 1.0), 40.0)
        held = 0.0
        for number, group in enumerate(groups):
            gone = {f"vm{n}" for n, other in enumerate(groups) if other != group}
            held += self.owners(members, f"vm{number}", gone).own_part(quota, 0.0)
        self.assertLessEqual(held, 1.0 + 1e-9)

    def test_a_part_refills_before_it_is_asked_for_the_first_time(self) -> None:
        parts = QuotaParts(self.owners(self.members(1), "vm0"), 0.0)
        at_once = parts.grant(LARGE_QUOTA, 1000, 0.1)
        for tenth in range(1, 100):
            parts.tick(tenth / 10)
        later = parts.grant(workspace_quota(LARGE._replace(name="asked later"), WIDE), 1000, 10.0)
        assert at_once is not None and later is not None
        self.assertLess(at_once.count, 25)
        self.assertEqual(later.count, int(quota_limit(LARGE, WIDE).capacity))

    def test_a_part_that_moved_to_a_vm_refills_from_then_on(self) -> None:
        members, gone = self.members(2, halls=1), set()
        owners = {name: self.owners(members, name, gone) for name in members}
        first = owners["vm0"].of("large", 40.0, 0.0)[0].name
        [second] = [name for name in members if name != first]
        parts = QuotaParts(owners[second], 0.0)
        for tenth in range(100):
            parts.tick(tenth / 10)
        gone.add(first)
        parts.tick(10.3)
        given = parts.grant(LARGE_QUOTA, 1000, 10.4)
        assert given is not None
        self.assertLess(given.count, quota_limit(LARGE, WIDE).capacity / 2)

    def test_a_pause_of_the_process_starts_its_parts_anew(self) -> None:
        parts = QuotaParts(self.owners(self.members(1), "vm0"), 0.0)
        parts.tick(99.9)
        parts.tick(100.0)
        self.assertIsNotNone(parts.grant(LARGE_QUOTA, 1, 100.0))
        for tenth in range(1001, 1300):
            parts.tick(tenth / 10)
        later = parts.grant(LARGE_QUOTA, 1000, 130.0)
        assert later is not None
        self.assertGreater(later.count, 20)
        for tenth in range(1300, 1600):
            parts.tick(tenth / 10)
        after_pause = parts.grant(LARGE_QUOTA, 1000, 165.0)
        assert after_pause is not None
        self.assertLess(after_pause.count, later.count / 2)


class Leases(unittest.TestCase):
    def test_a_grant_is_used_while_it_is_valid(self) -> None:
        held, owner = lease(), Owner("h0", "vm1", 0.5)
        held.add(LeaseGrant(owner, 2, 1.0))
        used = held.use(1.0 + GRANT_VALID_S / 2)
        assert used is not None
        self.assertEqual((used.owner, used.count, used.at), (owner, 1, 1.0))
        self.assertIsNone(held.use(1.0 + GRANT_VALID_S))

    def test_an_unused_grant_may_be_returned_for_a_while(self) -> None:
        for later, returned in (
            (GRANT_VALID_S / 2, []),
            (GRANT_VALID_S * 1.5, [2]),
            (GRANT_RETURNABLE_S, []),
        ):
            held = lease()
            held.add(LeaseGrant(Owner("h0", "vm1", 0.5), 2, 1.0))
            self.assertEqual([grant.count for grant in held.unused(1.0 + later)], returned)

    def test_as_many_are_asked_for_as_are_expected_to_be_needed(self) -> None:
        held = lease()
        self.assertEqual(held.wanted(1, 0.0), 1)
        for n in range(40):
            held.arrived(n / 40)
        self.assertEqual(held.wanted(1, 1.0), 3)
        self.assertEqual(held.wanted(30, 1.0), 30)

    def test_near_owners_are_asked_first_and_empty_ones_not(self) -> None:
        owners = tuple(Owner(f"h{n}", f"vm{n}", 1 / 6) for n in range(6))
        regions = {f"h{n}": f"r{n // 2}" for n in range(6)}
        groups = asking_groups(owners, hall="h3", regions=regions, rng=random.Random(1))
        halls = [[owner.hall for owner in group] for group in groups]
        self.assertEqual(halls[:2], [["h3"], ["h2"]])
        self.assertEqual([len(group) for group in groups[2:]], [1, 3])
        self.assertEqual({*halls[2], *halls[3]}, {"h0", "h1", "h4", "h5"})
        held = lease()
        held.record_exhausted("h3", 1.0)
        held.record_exhausted("h2", 0.5)
        self.assertEqual([held.is_open(owner, 0.1) for owner in owners[2:5]], [False, False, True])
        self.assertEqual([held.is_open(owner, 0.7) for owner in owners[2:5]], [True, False, True])


class OneFleet(unittest.TestCase):
    """Whole VMs, connected by virtual links."""

    def test_what_a_fleet_admits_at_once_and_when_callers_may_retry(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = ModelFleet(loop, 12, {"small": SMALL}, WIDE)
            await pass_time(5.0)
            vms = list(fleet.vms.values())
            ends = []
            for number in range(60):
                ends.append(await vms[number % 12].quotas.take(SMALL_QUOTA))
            admitted = [end for end in ends if end.end is QuotaEnd.ADMITTED]
            self.assertGreaterEqual(len(admitted), 8)
            self.assertLessEqual(len(admitted), allowed_in_window(SMALL, WIDE))
            over = [end.retry_after_s for end in ends if end.end is QuotaEnd.OVER]
            self.assertTrue(over)
            self.assertTrue(all(0.1 <= seconds <= 2.3 for seconds in over), over)

        run_virtual(main)

    def test_requests_that_did_not_run_are_left_for_others(self) -> None:
        """A workspace is far above its limit; half of its requests find no room at servers."""
        length_s = 10.0

        async def main(loop: VirtualLoop) -> list[float]:
            fleet = ModelFleet(loop, 12, {"large": LARGE}, WIDE)
            await pass_time(5.0)
            ran: list[float] = []

            async def caller(vm: ModelVm, number: int) -> None:
                while True:
                    decision = await vm.quotas.take(LARGE_QUOTA)
                    number += 1
                    if decision.end is QuotaEnd.ADMITTED and number % 2:
                        ran.append(loop.time())
                    elif decision.end is QuotaEnd.ADMITTED:
                        await pass_time(0.03)
                        vm.quotas.give_back(LARGE_QUOTA, decision)
                    await pass_time(0.02)

            callers = list(enumerate([*fleet.vms.values()] * 4))
            tasks = [loop.create_task(caller(vm, number)) for number, vm in callers]
            await pass_time(length_s)
            for task in tasks:
                task.cancel()
            return ran

        ran = run_virtual(main)
        usual = LARGE.rate_per_s * 5 + LARGE.burst
        self.assertGreater(len(ran) / length_s * 5, 0.9 * usual)
        most = max(sum(at <= other <= at + 5.0 for other in ran) for at in ran)
        self.assertLessEqual(most, allowed_in_window(LARGE, WIDE))

    def test_the_lease_of_an_idle_workspace_is_dropped(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = ModelFleet(loop, 12, {"small": SMALL}, WIDE)
            vm = next(iter(fleet.vms.values()))
            decision = await vm.quotas.take(SMALL_QUOTA)
            vm.quotas.give_back(SMALL_QUOTA, decision)
            self.assertEqual(list(vm.quotas.leases), ["small"])
            await pass_time(3.0)
            self.assertEqual(list(vm.quotas.leases), [])
            self.assertEqual(vm.quotas.used["small"], 0)
            self.assertIs((await vm.quotas.take(SMALL_QUOTA)).end, QuotaEnd.ADMITTED)

        run_virtual(main)

    def test_a_hall_that_is_cut_off_serves_its_part(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = ModelFleet(loop, 12, {"large": LARGE}, WIDE)
            await pass_time(5.0)
            hall = fleet.in_hall(fleet.halls[0])
            fleet.cut(hall, 1)
            await pass_time(5.0)
            served = 0
            for _ in range(50):
                served += (await hall[0].quotas.take(LARGE_QUOTA)).end is QuotaEnd.ADMITTED
                await pass_time(0.1)
            self.assertGreater(served, 40)

        run_virtual(main)

    def test_a_caller_that_came_before_the_owners_restarted_is_served_when_it_retries(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = ModelFleet(loop, 12, {"small": SMALL}, WIDE)
            await pass_time(5.0)
            vms = list(fleet.vms.values())
            owners = vms[0].quotas.owners.of("small", 9.0, loop.time())
            first = next(vm for vm in vms if vm.name not in {owner.name for owner in owners})
            fleet.kill(vms, 100.0)
            first.restart()
            early = await first.quotas.take(SMALL_QUOTA)
            self.assertIs(early.end, QuotaEnd.UNKNOWN)
            for vm in vms:
                vm.restart()
            await pass_time(early.retry_after_s)
            self.assertIs((await first.quotas.take(SMALL_QUOTA)).end, QuotaEnd.ADMITTED)

        run_virtual(main)

    def test_lost_owners_give_an_unknown_quota_and_not_a_used_up_one(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            fleet = ModelFleet(loop, 12, {"small": SMALL}, WIDE)
            await pass_time(5.0)
            vms = list(fleet.vms.values())
            for vm in vms[1:]:
                vm.alive = False
                vm.changed_at = loop.time()
            ends = [await vms[0].quotas.take(SMALL_QUOTA) for _ in range(4)]
            self.assertIn(QuotaEnd.UNKNOWN, {end.end for end in ends})

        run_virtual(main)
