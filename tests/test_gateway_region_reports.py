"""Load and latency of regions: which VM reports them and what policies do with them."""

import unittest

import msgspec

from sprucewinch.errors import SettingsError
from sprucewinch.gateway.regions.policies import PolicyTable
from sprucewinch.gateway.regions.region_reports import MAX_REPORT_AGE_S, RegionReport, ServiceReport
from sprucewinch.gateway.resources import PolicyChoice
from standins.consortium_store import StoreStandIn
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import StoreFixture
from .test_gateway_policies import Steered
from .test_platform_store import configuration
from .virtual_fleet import VirtualFleet

_GUARD_STALE_S = 5.5
_FULL, _EMPTY = 12.0, 0.0


def _report_loads(
    steered: Steered, *, east: float, west: float, east_ms: float = 150, west_ms: float = 150
) -> None:
    """Deliver a report of each region; the east has 12 slots and the west 36."""
    for region, in_use, latency_ms in (("east", east, east_ms), ("west", west, west_ms)):
        service_report = ServiceReport("rates", in_use, latency_ms, 20.0)
        steered.region_reports.on_region_report(
            RegionReport("vm9", region, (service_report,)), steered.now
        )


def _run_with_load(steered: Steered, seconds: float, **load: float) -> float:
    """Report the same load every second; returns the east's share at the end."""
    for _ in range(int(seconds)):
        _report_loads(steered, **load)
        steered.run(1.0)
    return steered.share("east")


def _run_with_demand(steered: Steered, demand: float, seconds: float) -> list[float]:
    """Report the load of callers that need `demand` slots; returns the east's shares over time."""
    shares = []
    for _ in range(int(seconds)):
        east = steered.share("east")
        _report_loads(steered, east=min(_FULL, demand * east), west=demand * (1 - east))
        steered.run(1.0)
        shares.append(steered.share("east"))
    return shares


def _steered_by(policy: str, home: str = "east") -> Steered:
    steered = Steered(home)
    steered.world.put("policy-of/rates", PolicyChoice("rates", policy))
    return steered


class PoliciesThatMeasure(unittest.TestCase):
    def test_headroom_leaves_a_full_home_and_comes_back(self) -> None:
        steered = _steered_by("headroom")
        self.assertGreater(_run_with_demand(steered, 3.0, 60)[-1], 0.95)
        full = _run_with_demand(steered, 15.0, 120)[-60:]
        self.assertTrue(all(0.4 < share < 0.8 for share in full), full)
        self.assertGreater(_run_with_demand(steered, 3.0, 60)[-1], 0.95)

    def test_headroom_does_not_move_callers_into_a_full_region(self) -> None:
        steered = _steered_by("headroom")
        _run_with_load(steered, 30, east=_EMPTY, west=36.0)
        self.assertGreater(_run_with_load(steered, 60, east=_FULL, west=36.0), 0.95)

    def test_latency_goes_where_answers_take_least_time(self) -> None:
        steered = _steered_by("latency")
        slow = _run_with_load(steered, 60, east=3.0, west=3.0, east_ms=900.0)
        self.assertLess(slow, 0.3)

    def test_figures_that_are_no_longer_reported_move_nobody(self) -> None:
        steered = _steered_by("headroom")
        _run_with_load(steered, 60, east=_EMPTY, west=_EMPTY)
        _report_loads(steered, east=_FULL, west=_EMPTY)
        steered.run(_GUARD_STALE_S)
        before = steered.share("east")
        steered.run(MAX_REPORT_AGE_S + 60.0)
        self.assertAlmostEqual(steered.share("east"), before, places=2)

    def test_the_default_policy_asks_for_no_measures(self) -> None:
        self.assertFalse(Steered().policies.any_policy_reads_measures(["rates"]))
        for policy, asks in (("headroom", True), ("latency", True), ("nearest", False)):
            policies = _steered_by(policy).policies
            self.assertIs(policies.any_policy_reads_measures(["rates"]), asks, policy)

    def test_a_default_that_is_not_shipped_is_refused_with_a_remedy(self) -> None:
        with self.assertRaisesRegex(SettingsError, "name one of capacity"):
            PolicyTable(StoreFixture().store_view, default="nobody-wrote-it")


class Reports(unittest.TestCase):
    def test_a_report_is_of_its_own_region_alone(self) -> None:
        steered = Steered("east")
        registry = steered.world.registry
        for server in registry.servers.values():
            server.record_load(4, 1, 10.0)
            server.record_success(0.2, 10.0)
        (service_report,) = steered.region_reports.measure(lambda service: 30.0, 10.0).services
        self.assertEqual((service_report.service, service_report.in_use), ("rates", 10.0))
        self.assertEqual((service_report.latency_ms, service_report.demand_per_s), (200.0, 30.0))

    def test_a_message_passes_unchanged(self) -> None:
        report = RegionReport("vm1", "east", (ServiceReport("rates", 3.5, -1.0, 8.0),))
        data = msgspec.msgpack.encode(report)
        self.assertEqual(msgspec.msgpack.decode(data, type=RegionReport), report)


class Fleet(unittest.TestCase):
    def test_all_vms_hold_the_figures_of_one_reporter_of_each_region(self) -> None:
        async def play(loop: VirtualLoop) -> None:
            store = StoreStandIn(loop)
            store.put("op/config", configuration(3))
            fleet = VirtualFleet(loop, store, 9)
            for vm in fleet.vms:
                report = RegionReport(vm.name, vm.region, (ServiceReport("s", 1, 2, 3),))
                vm.own_report = report
            await pass_time(15.0)
            counts = [vm.region_reports.received_count for vm in fleet.vms]
            counts_before = list(counts)
            await pass_time(10.0)
            received = [
                m.region_reports.received_count - b
                for m, b in zip(fleet.vms, counts_before, strict=True)
            ]
            self.assertTrue(all(24 <= count <= 36 for count in received), received)
            self.assertTrue(all(len(m.region_reports.newest) == 3 for m in fleet.vms))

        run_virtual(play)


if __name__ == "__main__":
    unittest.main()
