"""The inputs of admission: returning callers, demand, room of the service, and times to return."""

import random
import unittest
from typing import Optional

from sprucewinch.gateway.estimates.admission_verdict import AdmissionReason, AdmissionVerdict
from sprucewinch.gateway.requests.admission.gate import AdmissionGate
from sprucewinch.gateway.requests.admission.service_rate import ServiceCapacity, ServiceRates
from sprucewinch.gateway.requests.admission.turn import Turn
from sprucewinch.gateway.requests.choice.room import queue_position
from sprucewinch.gateway.requests.client_request import CallerHistory, ClientRequest, RefusalReason
from sprucewinch.gateway.requests.outcome.return_times import MIN_RETRY_AFTER_S
from sprucewinch.gateway.resources import BackendEntry, WeightedService
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .estimate_fakes import StatedEstimates, estimate
from .gateway_fakes import PipelineFixture, StoreFixture, route
from .load_fleet import CountedEvents

_NOW = 100.0
_REFUSED = AdmissionVerdict(False, AdmissionReason.TARGET_MISSED)


def _request(left_s: float = 2.5, now: float = _NOW, **changes: object) -> ClientRequest:
    path = "/rates/a"
    request = ClientRequest("q", "GET", "quotes.example", path, path, (), b"", now, now + left_s)
    for name, value in changes.items():
        setattr(request, name, value)
    return request


class GateFixture:
    """A gate over the servers of one service, of six slots each.

    Args:
        servers: Number of servers.
        vms: Number of VMs.
    """

    def __init__(self, *, servers: int = 2, vms: int = 1) -> None:
        self.world = StoreFixture(vms=vms)
        for number in range(servers):
            entry = BackendEntry(f"s{number}", "rates", f"10.0.0.{number}:80", "east-a", 6)
            self.world.put(f"servers/s{number}", entry, _NOW)
        self.events = CountedEvents()
        self.estimates = StatedEstimates()
        self.gate = AdmissionGate(
            self.world.registry, random.Random(1), events=self.events, estimates=self.estimates
        )
        self.server = self.world.registry.servers["s0"]
        self.route = route(latency_target_s=0.9, timeout_s=2.0)

    def hold(self, held: float) -> None:
        """Let each server hold some requests, by new figures."""
        for number in range(len(self.world.registry.servers)):
            server_id = f"s{number}"
            self.estimates.by_id[server_id] = estimate(server_id=server_id, held=held, age_s=0.0)

    def verdict(self, request: ClientRequest, now: float = _NOW) -> AdmissionVerdict:
        ask = self.gate.ask(self.server, request, self.route, now)
        assert ask is not None
        return self.gate.verdict(ask, now)

    def refuse(self, request: ClientRequest, now: float = _NOW, **changes: object) -> float:
        """Refuse a request and return its time to return, in seconds."""
        asked_route = self.route._replace(**changes)
        ask = self.gate.ask(self.server, request, asked_route, now)
        assert ask is not None
        retry_after_s = self.gate.refuse(ask, _REFUSED, now).retry_after_s
        assert retry_after_s is not None
        return retry_after_s


class Known(unittest.TestCase):
    def test_nothing_is_decided_without_estimates_or_reports(self) -> None:
        path = GateFixture()
        unknown = (
            {"age_s": float("inf")},
            {"work_s": 0.0},
            {"queued_work_s": 0.0},
        )
        for fields in unknown:
            path.estimates.by_id["s0"] = estimate(**fields)
            self.assertIsNone(path.gate.ask(path.server, _request(), path.route, _NOW))
        path.estimates.by_id["s0"] = estimate()
        self.assertIsNotNone(path.gate.ask(path.server, _request(), path.route, _NOW))
        path.gate.estimates = None
        self.assertIsNone(path.gate.ask(path.server, _request(), path.route, _NOW))

    def test_a_service_without_reports_is_served_as_before(self) -> None:
        """Its estimates say that it is full; only the load that it stated counts."""

        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=1)
            path.world.configure(route())
            estimates = StatedEstimates()
            estimates.by_id["s0"] = estimate(held=99.0, age_s=float("inf"))
            path.choice.admission.estimates = estimates
            request = path.request("q")
            self.assertEqual((await path.pipeline.run(request)).status, 200)
            self.assertEqual((request.service_turn, path.choice.admission.services), (None, {}))

        run_virtual(main)

    def test_a_new_configuration_drops_what_it_no_longer_has(self) -> None:
        path = GateFixture()
        path.verdict(_request())
        path.world.configure(path.route)
        self.assertEqual(list(path.gate.services), ["rates"])
        self.assertEqual(list(path.gate._returning.by_route), ["r1"])
        other = route(name="r2", parts=(WeightedService("other", 1.0),))
        path.world.configure(other, version=2)
        self.assertEqual((path.gate.services, path.gate._returning.by_route), ({}, {}))


class Histories(unittest.TestCase):
    def test_a_returning_caller_is_counted_and_goes_first(self) -> None:
        path = GateFixture()
        for _ in range(40):
            path.verdict(_request())
        back, again = _request(2.1), _request(2.44)
        path.verdict(back)
        path.verdict(again)
        self.assertIs(back.history, CallerHistory.RETURNING)
        self.assertAlmostEqual(back.tried_for_s, 0.4)
        self.assertIs(again.history, CallerHistory.REPEATING)
        first = queue_position(_request(), path.route)
        self.assertLess(queue_position(back, path.route), first)
        self.assertLess(first, queue_position(again, path.route))
        self.assertEqual(path.events.counters["callers_returning"], 1)
        self.assertEqual(path.events.counters["callers_repeating"], 1)

    def test_its_target_counts_from_its_first_attempt(self) -> None:
        path = GateFixture()
        for _ in range(40):
            path.verdict(_request())
        path.estimates.by_id["s0"] = estimate(held=8.0, age_s=0.0)
        self.assertTrue(path.verdict(_request(2.2)).admitted)
        self.assertFalse(path.verdict(_request(2.0)).admitted)

    def test_a_default_deadline_says_nothing_of_earlier_attempts(self) -> None:
        path = GateFixture()
        for _ in range(40):
            path.verdict(_request(10.0, deadline_stated=False))
        stated = [_request() for _ in range(40)]
        for request in stated:
            path.verdict(request)
        self.assertEqual({request.history for request in stated}, {CallerHistory.FIRST})

    def test_returning_callers_of_a_hot_workspace_do_not_go_before_others(self) -> None:
        path = GateFixture()
        hot = _request(history=CallerHistory.RETURNING, steps_over_share=2)
        self.assertLess(queue_position(_request(), path.route), queue_position(hot, path.route))


class Shares(unittest.TestCase):
    def _sent(self, path: GateFixture, priorities: list[int], per_s: float) -> dict[int, float]:
        """Return the part of the requests of each kind that is sent, from the third second on."""
        asked: dict[int, int] = dict.fromkeys(priorities, 0)
        sent = dict(asked)
        for number in range(int(per_s * 10)):
            now = _NOW + number / per_s
            priority = priorities[number % len(priorities)]
            at_route = path.route._replace(name=f"r{priority}", priority=priority)
            ask = path.gate.ask(path.server, _request(now=now), at_route, now)
            assert ask is not None
            admitted = path.gate.verdict(ask, now).admitted
            if now >= _NOW + 2.0:
                asked[priority] += 1
                sent[priority] += admitted
        return {priority: sent[priority] / asked[priority] for priority in priorities}

    def test_a_less_urgent_kind_gives_way(self) -> None:
        """Twelve slots with a queue as long as is aimed at, asked for 1.6 times what they bear."""
        path = GateFixture()
        path.hold(11.0)
        sent = self._sent(path, [0, 2], 1.6 * 12 / 0.3)
        self.assertGreater(sent[0], 0.97)
        self.assertAlmostEqual(sent[2], 0.25, delta=0.06)

    def test_the_part_of_each_vm_follows_the_number_of_vms(self) -> None:
        path = GateFixture(vms=4)
        path.hold(11.0)
        self.assertAlmostEqual(self._sent(path, [0], 2 * 10.0)[0], 0.5, delta=0.06)

    def test_idle_servers_refuse_nobody(self) -> None:
        path = GateFixture(vms=40)
        path.hold(1.0)
        self.assertEqual(self._sent(path, [0, 2], 200.0), {0: 1.0, 2: 1.0})

    def test_one_vm_with_many_callers_uses_room_that_others_leave(self) -> None:
        path = GateFixture(vms=8)
        path.hold(5.0)
        self.assertGreater(self._sent(path, [0], 4 * 5.0)[0], 0.8)

    def test_rates_show_by_kind(self) -> None:
        path = GateFixture()
        path.hold(11.0)
        self._sent(path, [0, 2], 64.0)
        rows = list(path.gate.kinds(_NOW + 10.0))
        self.assertEqual([row.kind.priority for row in rows], [0, 2])
        self.assertAlmostEqual(rows[0].asked_per_s, 32.0, delta=2.0)
        self.assertAlmostEqual(rows[0].slots, 32.0 * 0.3, delta=1.0)
        self.assertGreater(rows[0].sent_per_s, rows[1].sent_per_s)


class ReturnTimes(unittest.TestCase):
    def test_callers_are_back_in_time_and_early_enough(self) -> None:
        path = GateFixture(vms=4)
        times = [path.refuse(_request()) for _ in range(200)]
        self.assertGreaterEqual(min(times), MIN_RETRY_AFTER_S)
        self.assertLessEqual(max(times), 0.9 - 0.3)
        late = path.refuse(_request(), latency_target_s=0.35)
        self.assertLessEqual(late, 2.5 / 3)

    def test_they_are_spaced_by_the_rate_at_which_room_comes_for_this_vm(self) -> None:
        path = GateFixture(vms=4)
        times = [path.refuse(_request(60.0), latency_target_s=30.0) for _ in range(9)]
        steps = [later - sooner for sooner, later in zip(times, times[1:], strict=False)]
        self.assertAlmostEqual(sum(steps) / len(steps), 0.3 / (12 / 4), delta=0.03)

    def test_a_more_urgent_kind_gets_the_earlier_times(self) -> None:
        path = GateFixture(vms=4)
        for number in range(60):
            path.verdict(_request(now=_NOW + number / 20), _NOW + number / 20)
        now = _NOW + 3.0
        urgent = [path.refuse(_request(60.0, now), now, latency_target_s=30.0) for _ in range(6)]
        less = [
            path.refuse(_request(60.0, now), now, latency_target_s=30.0, priority=2)
            for _ in range(6)
        ]
        self.assertLess(max(urgent), max(less))


class RatesOfServices(unittest.TestCase):
    def _capacity(self, path: GateFixture, now: float = _NOW, **changes: object) -> ServiceCapacity:
        at_route = path.route._replace(**changes)
        return self.rates.capacity("rates", at_route, path.estimates, now)

    def setUp(self) -> None:
        self.path = GateFixture(servers=2, vms=2)
        self.rates = ServiceRates(self.path.world.registry)

    def test_a_slow_server_has_fewer_slots_and_other_regions_none(self) -> None:
        self.path.estimates.by_id["s1"] = estimate(pace=3.0)
        capacity = self._capacity(self.path)
        self.assertAlmostEqual(capacity.slots, 6 + 6 / 3)
        self.assertAlmostEqual(self.rates.caller_slots(capacity), (6 + 6 / 3) / 2)
        self.assertEqual(self._capacity(self.path, regions=("west",)).slots, 0.0)

    def test_a_change_shows_after_a_moment(self) -> None:
        self.assertEqual(self._capacity(self.path).slots, 12.0)
        self.path.estimates.by_id["s0"] = estimate(pace=2.0)
        self.assertEqual(self._capacity(self.path, _NOW + 0.1).slots, 12.0)
        self.assertEqual(self._capacity(self.path, _NOW + 0.3).slots, 9.0)

    def test_old_figures_say_nothing_of_the_load(self) -> None:
        self.path.estimates.by_id["s0"] = estimate(held=12.0)
        self.path.estimates.by_id["s1"] = estimate(held=0.0, age_s=9.0)
        self.assertAlmostEqual(self._capacity(self.path).utilization, 2.0)
        self.path.estimates.by_id["s0"] = estimate(held=12.0, age_s=9.0)
        self.assertEqual(self._capacity(self.path, _NOW + 1.0).utilization, 0.0)


class Pipelines(unittest.TestCase):
    """What callers get where estimates are known."""

    def _path(self, loop: VirtualLoop, **fields: object) -> PipelineFixture:
        path = PipelineFixture(loop, servers=1)
        path.world.configure(route(latency_target_s=0.9, timeout_s=2.0))
        estimates = StatedEstimates()
        estimates.by_id["s0"] = estimate(age_s=0.0, **fields)
        path.choice.admission.estimates = estimates
        return path

    def _refused_after(self, left_s: Optional[float], **fields: object) -> tuple[float, float]:
        """Return when a request was refused, and its time to return, in seconds."""

        async def main(loop: VirtualLoop) -> tuple[float, float]:
            path = self._path(loop, **fields)
            for number in range(40):
                await path.pipeline.run(path.request(f"q{number}"))
            started = loop.time()
            deadline = started + (2.5 if left_s is None else left_s)
            request = path.request("late", deadline=deadline)
            reply = await path.pipeline.run(request)
            self.assertIs(reply.refusal, RefusalReason.NO_ROOM)
            self.assertEqual(path.runs("late"), 0)
            assert reply.retry_after_s is not None
            return loop.time() - started, reply.retry_after_s

        return run_virtual(main)

    def test_a_first_attempt_is_refused_at_once_with_a_time(self) -> None:
        took_s, retry_after_s = self._refused_after(None, held=30.0)
        self.assertEqual(took_s, 0.0)
        self.assertTrue(MIN_RETRY_AFTER_S <= retry_after_s <= 0.6)

    def test_a_request_that_waits_is_refused_once_it_can_not_be_in_time(self) -> None:
        """A returning caller waits behind a request that goes first and never gets a place."""

        async def main(loop: VirtualLoop) -> None:
            path = self._path(loop, held=4.0)
            server = path.world.registry.servers["s0"]
            server.in_flight = 6
            for number in range(40):
                await path.pipeline.run(path.request(f"q{number}"))
            first = queue_position(path.request("x", steps_over_share=0), route(priority=-1))
            waiting = loop.create_task(server.room.wait(9.0, first, 6))
            await pass_time(0.0)
            started = loop.time()
            request = path.request("back", deadline=started + 2.5 - 0.2)
            reply = await path.pipeline.run(request)
            self.assertIs(reply.refusal, RefusalReason.NO_ROOM)
            self.assertTrue(request.waited_for_room)
            self.assertLessEqual(loop.time() - started, 0.9 - 0.2 - 0.3)
            self.assertGreater(loop.time() - started, 0.1)
            waiting.cancel()

        run_virtual(main)

    def test_a_waiting_request_takes_the_place_of_one_that_ends(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = self._path(loop, held=4.0)
            path.first().work_s = 0.3
            server = path.world.registry.servers["s0"]
            held = [loop.create_task(path.pipeline.run(path.request(f"q{n}"))) for n in range(6)]
            await pass_time(0.15)
            request = path.request(
                "back",
                service_turn=Turn(come=False),
                history=CallerHistory.RETURNING,
                tried_for_s=0.1,
            )
            started = loop.time()
            self.assertEqual((await path.pipeline.run(request)).status, 200)
            self.assertAlmostEqual(loop.time() - started, 0.15 + 0.3, delta=0.03)
            self.assertEqual(server.room.waiters, [])
            for task in held:
                await task

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
