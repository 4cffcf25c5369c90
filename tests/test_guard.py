import unittest
from collections import deque

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucewinch.config.configuration import Document
from sprucewinch.hall.planning import planner as planning
from sprucewinch.hall.planning.planner import Planner
from sprucewinch.hall.planning.topology import Topology
from sprucewinch.steering.guard import GuardLimits, limit_shares, weights_problem
from sprucewinch.steering.measures import RegionMeasures, Snapshot
from sprucewinch.steering.placement import make_shares
from sprucewinch.steering.policy import Policy, PolicyFault
from tests.fakes import example

ORDER = ("lower-mainland", "interior", "island")
HOME, OTHER, THIRD = ORDER
NAMES = [region.replace("-", "_") for region in ORDER]
LIMITS = GuardLimits(ceiling=0.8, stale_s=5.0, warm_step=0.25, planners=1)
CAPACITY = 40.0
SLOT_TIME_S = 0.02


def snapshot(demand: float = 1000.0, **regions: RegionMeasures) -> Snapshot:
    fresh = RegionMeasures(CAPACITY, 10.0, 20.0, 500.0, 0.5)
    named = {name.replace("_", "-"): measures for name, measures in regions.items()}
    return Snapshot(
        service="rates",
        client_region=HOME,
        regions={region: named.get(region, fresh) for region in ORDER},
        distance_ms={HOME: 1.0, OTHER: 10.0, THIRD: 10.0},
        link_per_s={HOME: float("inf"), OTHER: 400.0, THIRD: 400.0},
        demand_per_s=demand,
    )


class GrantedShares(unittest.TestCase):
    at_home = make_shares(ORDER, {HOME: 1.0})

    def granted(self, wanted: dict, measured: Snapshot, limits: GuardLimits = LIMITS):
        return limit_shares(wanted, self.at_home, measured, limits)

    def test_wanted_shares_are_granted_when_slots_are_free(self) -> None:
        granted = self.granted({HOME: 8, OTHER: 1, THIRD: 1}, snapshot())
        self.assertAlmostEqual(granted.shares.share(OTHER), 0.1)
        self.assertEqual(granted.notes, ())

    def test_stale_or_missing_measures_never_gain(self) -> None:
        for age in (None, 6.0):
            measured = snapshot(interior=RegionMeasures(CAPACITY, 0.0, None, 0.0, age))
            granted = self.granted({OTHER: 1}, measured)
            self.assertEqual(granted.shares.share(OTHER), 0.0)
            self.assertIn(f"stale:{OTHER}", granted.notes)

    def test_link_bounds_the_share(self) -> None:
        granted = self.granted({HOME: 0.4, OTHER: 0.6}, snapshot(demand=2000.0))
        self.assertLessEqual(granted.shares.share(OTHER), 400 / 2000 + 1e-9)

    def test_headroom_bounds_the_gain(self) -> None:
        full = RegionMeasures(CAPACITY, 31.0, 20.0, 1550.0, 0.5)
        granted = self.granted({OTHER: 1}, snapshot(interior=full))
        self.assertAlmostEqual(granted.shares.share(OTHER), (32 - 31) / SLOT_TIME_S / 1000)

    def test_drained_region_gets_nothing(self) -> None:
        drained = RegionMeasures(CAPACITY, 0.0, 20.0, 0.0, 0.5, drained=True)
        granted = self.granted({OTHER: 1}, snapshot(interior=drained))
        self.assertEqual(granted.shares.share(OTHER), 0.0)

    def test_drained_home_is_left_even_if_the_policy_wants_it(self) -> None:
        drained = RegionMeasures(CAPACITY, 10.0, 20.0, 500.0, 0.5, drained=True)
        granted = self.granted({HOME: 1}, snapshot(lower_mainland=drained))
        self.assertEqual(granted.shares.share(HOME), 0.0)

    def test_shares_stay_when_no_region_is_usable(self) -> None:
        no_slots = RegionMeasures(0.0)
        measured = snapshot(lower_mainland=no_slots, interior=no_slots, island=no_slots)
        self.assertEqual(self.granted({OTHER: 1}, measured).shares, self.at_home)

    @given(
        st.dictionaries(st.sampled_from(ORDER), st.floats(0.01, 5), min_size=1),
        st.dictionaries(st.sampled_from(ORDER), st.floats(0.01, 5), min_size=1),
        st.lists(
            st.builds(
                RegionMeasures,
                st.floats(0, 100),
                st.floats(0, 200),
                st.none() | st.floats(0, 1000),
                st.floats(0, 5000),
                st.none() | st.floats(0, 60),
                st.booleans(),
            ),
            min_size=3,
            max_size=3,
        ),
        st.floats(0, 5000),
    )
    def test_shares_always_add_up(self, wanted, current, measures, demand) -> None:
        measured = snapshot(demand, **dict(zip(NAMES, measures, strict=True)))
        shares = limit_shares(wanted, make_shares(ORDER, current), measured, LIMITS).shares
        self.assertAlmostEqual(sum(shares.as_dict().values()), 1.0)
        self.assertTrue(all(share >= -1e-9 for share in shares.as_dict().values()))

    def test_invalid_weights_are_refused(self) -> None:
        for wanted in (None, {}, {HOME: float("nan")}, {HOME: -1}, {"x": 1}, {HOME: True}):
            self.assertIsNotNone(weights_problem(wanted, ORDER))


class _ScriptedPolicy(Policy):
    """Returns the weights that the test sets in `next`."""

    name = "whim"

    def __init__(self) -> None:
        self.next: dict[str, float] = {HOME: 1.0}

    def weights(self, snapshot: Snapshot) -> dict[str, float] | PolicyFault:
        return self.next


class Fleet:
    """Three planners whose measures lag by `lag` rounds; `load` returns the true slots in use."""

    def __init__(self, demand: float, lag: int) -> None:
        self.topology = Topology(Document(1, example()))
        self.demand = demand
        self.lag = lag
        self.now = 0.0
        self.planners = {c: Planner(c, "me") for c in ORDER}
        for planner in self.planners.values():
            planner.start_from(None, self.topology, -60.0)
        self.policies = {c: _ScriptedPolicy() for c in ORDER}
        self.loads: deque[dict[str, float]] = deque(maxlen=lag + 1)
        self.most = self.load()

    def load(self) -> dict[str, float]:
        total = dict.fromkeys(ORDER, 0.0)
        for planner in self.planners.values():
            for region, share in planner.limiters["rates"].current.as_dict().items():
                total[region] += share * self.demand * SLOT_TIME_S
        return total

    def round(self, wanted: list[dict[str, float]]) -> None:
        self.now += 1.0
        self.loads.append(self.load())
        seen = self.loads[0]
        for (client, planner), weights in zip(self.planners.items(), wanted, strict=True):
            policy = self.policies[client]
            policy.next = weights
            measured = Snapshot(
                service="rates",
                client_region=client,
                regions={
                    r: RegionMeasures(
                        CAPACITY,
                        seen[r],
                        20.0,
                        seen[r] / SLOT_TIME_S,
                        float(self.lag),
                        self.topology.region_drained(r),
                    )
                    for r in ORDER
                },
                distance_ms=dict.fromkeys(ORDER, 1.0),
                demand_per_s=self.demand,
            )
            plan = planner.propose(
                self.topology, {"nearest": policy}, {"rates": measured}, self.now
            )
            if plan is not None:
                planner.confirm(plan, self.topology, self.now)


WEIGHTS = st.dictionaries(st.sampled_from(ORDER), st.floats(0.01, 1), min_size=1)


class NoDecisionOverloads(unittest.TestCase):
    def play(self, demand: float, lag: int, wanted: list) -> None:
        fleet = Fleet(demand, lag)
        before = fleet.load()
        allowed = {r: max(before[r], LIMITS.ceiling * CAPACITY) * 1.001 for r in ORDER}
        for weights in wanted:
            for _ in range(6):
                fleet.round(weights)
                load = fleet.load()
                for region in ORDER:
                    self.assertLessEqual(load[region], allowed[region], (region, load))

    @settings(max_examples=60, deadline=None)
    @given(
        st.floats(200, 1900),
        st.integers(0, 4),
        st.lists(st.lists(WEIGHTS, min_size=3, max_size=3), min_size=1, max_size=8),
    )
    def test_under_any_policies_and_lag(self, demand: float, lag: int, wanted: list) -> None:
        self.play(demand, lag, wanted)

    def all_want_one_region(self) -> None:
        self.play(1200.0, 4, [[{THIRD: 1.0}] * 3] * 12)

    def test_all_planners_want_the_same_lightly_loaded_region(self) -> None:
        self.all_want_one_region()

    def test_check_fails_when_measurement_lag_is_ignored(self) -> None:
        """A planner that takes measures to reflect each decision at once overloads the region."""
        original = Planner._with_history
        Planner._with_history = lambda self, service, topology, measured, *rest: measured
        try:
            with self.assertRaises(AssertionError):
                self.all_want_one_region()
        finally:
            Planner._with_history = original

    def test_check_fails_when_planners_do_not_divide_headroom(self) -> None:
        """A planner that may use all free slots of a region overloads it with the others."""
        original = planning.guard_limits
        planning.guard_limits = lambda topology: original(topology)._replace(
            planners=1, warm_step=10.0
        )
        try:
            with self.assertRaises(AssertionError):
                self.all_want_one_region()
        finally:
            planning.guard_limits = original


class PlannerCases(unittest.TestCase):
    def test_faulty_policy_keeps_the_last_shares_and_is_counted(self) -> None:
        fleet = Fleet(500.0, 0)

        class Broken(_ScriptedPolicy):
            def weights(self, snapshot: Snapshot) -> PolicyFault:
                return PolicyFault("took too long")

        fleet.policies = {c: Broken() for c in ORDER}
        planner = fleet.planners[HOME]
        before = planner.limiters["rates"].current
        fleet.round([{OTHER: 1.0}] * 3)
        self.assertEqual(planner.limiters["rates"].current, before)
        self.assertEqual(planner.fault_counts["rates"], 1)
        self.assertEqual(planner.confirmed.faults, {"rates": "took too long"})

    def test_drained_region_is_left_under_the_shift_cap(self) -> None:
        fleet = Fleet(500.0, 2)
        document = Document(1, example(), drained=(f"region:{HOME}",))
        fleet.topology = Topology(document)
        limit = fleet.topology.shift_limit("rates")
        shares = []
        for _ in range(80):
            shares.append(fleet.planners[HOME].limiters["rates"].current.share(HOME))
            fleet.round([{HOME: 1.0}] * 3)
        self.assertEqual(shares[-1], 0.0)
        window = int(limit.window_s)
        for begin in range(80 - window):
            self.assertLessEqual(shares[begin] - shares[begin + window], limit.cap + 1e-9)

    def test_new_planner_moves_nothing_within_its_first_window(self) -> None:
        fleet = Fleet(500.0, 0)
        planner = fleet.planners[HOME]
        planner.start_from(planner.confirmed, fleet.topology, 0.0)
        for _ in range(11):
            fleet.round([{OTHER: 1.0}] * 3)
        self.assertEqual(planner.limiters["rates"].current.share(HOME), 1.0)
        for _ in range(5):
            fleet.round([{OTHER: 1.0}] * 3)
        self.assertLess(planner.limiters["rates"].current.share(HOME), 1.0)
