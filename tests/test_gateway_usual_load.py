"""Load of a backend server after its report is outdated, and reports of other VMs with an age."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.resources import BackendEntry
from sprucewinch.gateway.servers.backend_registry import BackendRegistry
from sprucewinch.gateway.servers.capacity.load import LoadEstimate
from sprucewinch.gateway.servers.capacity.usual_load import UsualLoad

from .gateway_fakes import StoreFixture


def _registry(servers: int = 4) -> BackendRegistry:
    world = StoreFixture()
    for number in range(servers):
        backend = BackendEntry(f"s{number}", "rates", f"10.0.0.{number}:80", "east-a", 6)
        world.put(f"servers/s{number}", backend)
    return world.registry


class Usual(unittest.TestCase):
    def test_nothing_is_known_from_one_report(self) -> None:
        usual = UsualLoad()
        self.assertEqual(usual.per_slot(0.0), 0.0)
        usual.record(6, 6, 1.0)
        self.assertEqual(usual.per_slot(1.0), 0.0)

    def test_it_is_the_mean_for_each_slot(self) -> None:
        usual = UsualLoad()
        for held, slots in ((6, 6), (12, 6), (0, 8)):
            usual.record(held, slots, 5.0)
        self.assertAlmostEqual(usual.per_slot(5.0), 1.0)

    def test_new_reports_replace_old_ones(self) -> None:
        usual = UsualLoad()
        for number in range(20):
            usual.record(12, 6, number / 10)
        for number in range(20):
            usual.record(3, 6, 8.0 + number / 10)
        self.assertAlmostEqual(usual.per_slot(10.0), 0.5, delta=0.2)

    def test_without_recent_reports_nothing_is_known(self) -> None:
        usual = UsualLoad()
        for _ in range(8):
            usual.record(6, 6, 1.0)
        self.assertEqual(usual.per_slot(4.0), 1.0)
        self.assertEqual(usual.per_slot(6.0), 0.0)

    @given(
        st.lists(st.tuples(st.integers(0, 30), st.integers(0, 20)), min_size=3, max_size=40),
        st.randoms(),
    )
    def test_the_order_of_reports_changes_nothing(
        self, reports: list[tuple[int, int]], rng: object
    ) -> None:
        first, second = UsualLoad(), UsualLoad()
        for held, tenths in reports:
            first.record(held, 6, tenths / 10)
        rng.shuffle(reports)  # type: ignore[attr-defined]
        for held, tenths in reports:
            second.record(held, 6, tenths / 10)
        self.assertAlmostEqual(first.per_slot(2.0), second.per_slot(2.0))


class Fading(unittest.TestCase):
    def test_a_report_fades_to_the_usual_load_and_not_to_nothing(self) -> None:
        registry = _registry(17)
        for number in range(1, 17):
            registry.record_load(registry.servers[f"s{number}"], 6, 3, 10.0, 1.0)
        busy = registry.servers["s0"]
        registry.record_load(busy, 6, 18, 10.0, 1.0)
        self.assertEqual(busy.load(10.0), 24.0)
        usual = (9 * 16 + 24) / 17
        self.assertAlmostEqual(busy.load(10.6), (24.0 + usual) / 2)
        self.assertAlmostEqual(busy.load(14.0), usual, delta=0.2)

    def test_a_server_never_heard_of_has_the_usual_load(self) -> None:
        registry = _registry()
        for number in range(1, 4):
            registry.record_load(registry.servers[f"s{number}"], 6, 3, 10.0, 1.0)
        self.assertAlmostEqual(registry.servers["s0"].load(10.0), 9.0)

    def test_own_requests_are_part_of_the_usual_load(self) -> None:
        estimate = LoadEstimate()
        self.assertEqual(estimate.load(4, 10.0, usual=9.0), 9.0)
        self.assertEqual(estimate.load(12, 10.0, usual=9.0), 12.0)

    def test_without_a_pace_a_report_fades_to_nothing_as_before(self) -> None:
        registry = _registry()
        for number in range(4):
            registry.record_load(registry.servers[f"s{number}"], 6, 3, 10.0)
        self.assertAlmostEqual(registry.servers["s0"].load(10.6), 4.5)
        self.assertLess(registry.servers["s0"].load(20.0), 0.001)


class Told(unittest.TestCase):
    def test_an_older_report_of_another_vm_changes_nothing(self) -> None:
        server = _registry(1).servers["s0"]
        server.record_load(6, 3, 10.0)
        self.assertFalse(server.record_told_load(30, 5.0, 9.9))
        self.assertEqual(server.load(10.0), 9.0)
        self.assertTrue(server.record_told_load(2, 5.0, 10.1))
        self.assertEqual(server.load(10.1), 2.0)

    def test_requests_sent_after_the_report_are_added_to_it(self) -> None:
        registry = _registry(1)
        server = registry.servers["s0"]
        registry.take(server, 9.0)
        for number in range(3):
            registry.take(server, 10.0 + number / 10)
        server.record_told_load(2, 1.0, 10.0)
        self.assertEqual(server.load(10.0), 1.0 + 1.0 + 3.0)

    def test_vms_told_of_the_same_free_server_each_count_their_own_requests(self) -> None:
        for _vm in range(5):
            registry = _registry(1)
            server = registry.servers["s0"]
            server.record_told_load(0, 1.0, 10.0)
            sent = 0
            while server.load(10.05) < server.backend.capacity:
                registry.take(server, 10.05)
                sent += 1
                server.record_told_load(0, 1.0, 10.0)
            self.assertEqual(sent, server.backend.capacity)


if __name__ == "__main__":
    unittest.main()
