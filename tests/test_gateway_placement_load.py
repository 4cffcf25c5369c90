"""Placement by expected answer time under the loads that it answers, against selection by load.

VMs decide with the product's own selection; a server is a list of the times at which its work ends.
"""

import heapq
import itertools
import math
import random
import unittest
from collections import Counter, OrderedDict
from collections.abc import Callable
from typing import Any, NamedTuple, Optional

from sprucewinch.gateway.estimates.server_estimate import ServerEstimate, ServerEstimates
from sprucewinch.gateway.regions.policies import PolicyTable
from sprucewinch.gateway.regions.region_reports import RegionReports
from sprucewinch.gateway.regions.shares import RegionShares
from sprucewinch.gateway.requests.choice.region_moves import RegionMoves
from sprucewinch.gateway.requests.choice.server_order import ServerRanker
from sprucewinch.gateway.requests.choice.server_selection import ServerSelector
from sprucewinch.gateway.requests.client_request import (
    Attempt,
    ClientRequest,
    Selection,
    SelectionReason,
    Verdict,
)
from sprucewinch.gateway.resources import BackendEntry
from sprucewinch.gateway.servers.backend_server import BackendServer
from sprucewinch.gateway.servers.outliers import OutlierDetector

from .gateway_fakes import StoreFixture, route

SLOTS, QUEUE = 6, 18
WORK_S = 0.35
COLD_FACTOR = 3
WARM_OBJECTS = 150
OBJECTS = 500
TARGET_S = 0.8
CAP = 0.15
REPORT_S = 0.25
"""Interval at which all VMs learn the load and the pace of all servers."""
WARMUP_S = 3.0
ROUTE = route(latency_target_s=TARGET_S, timeout_s=2.0)


class Worker:
    """A backend server: ends of its work, and the objects that it keeps warm."""

    def __init__(self) -> None:
        self.ends: list[float] = []
        self.warm: OrderedDict[str, bool] = OrderedDict()
        self.pace: Callable[[float], float] = lambda _now: 1.0

    def held(self, now: float) -> int:
        self.ends = [end for end in self.ends if end > now]
        return len(self.ends)

    def end(self, key: str, work_s: float, now: float) -> Optional[float]:
        """Return when a request that arrives now ends; None if it is turned away."""
        held = self.held(now)
        if held >= SLOTS + QUEUE:
            return None
        start = now if held < SLOTS else self.ends[held - SLOTS]
        factor = 1 if key in self.warm else COLD_FACTOR
        self.keep_warm(key)
        self.ends.append(start + work_s * factor * self.pace(start))
        ended = self.ends[-1]
        self.ends.sort()
        return ended

    def keep_warm(self, key: str) -> None:
        self.warm.pop(key, None)
        self.warm[key] = True
        if len(self.warm) > WARM_OBJECTS:
            self.warm.popitem(last=False)


class Report(NamedTuple):
    """What all VMs know of a server.

    Args:
        at: Time of the report, in seconds.
        held: Requests that it held then.
        pace: Its pace then.
        own: Requests in flight there then, by VM.
    """

    at: float
    held: int
    pace: float
    own: dict["Vm", int]


class ReportedEstimates(ServerEstimates):
    """Estimates from the last reports, and from this VM's own requests since."""

    def __init__(self, fleet: "Fleet", vm: "Vm") -> None:
        self.fleet = fleet
        self.vm = vm

    def estimate(self, backend: BackendEntry, _route: str, key: str, now: float) -> ServerEstimate:
        report = self.fleet.reports.get(backend.id, Report(-math.inf, 0, 1.0, {}))
        in_flight = self.vm.registry.servers[backend.id].in_flight
        held = max(0, report.held - report.own.get(self.vm, 0)) + in_flight
        warm = self.vm.outliers.sent_objects.is_warm(backend.id, key, now)
        work_s = WORK_S if warm else WORK_S * COLD_FACTOR
        return ServerEstimate(
            backend.id, SLOTS, held, report.pace, work_s, WORK_S, warm, now - report.at
        )


class Vm:
    """A VM's selection; `by_time` tells whether it has estimates."""

    def __init__(self, fleet: "Fleet", name: str, home: str, *, by_time: bool) -> None:
        self.home = home
        self.world = StoreFixture(name=name)
        self.world.configure(ROUTE)
        for entry in fleet.entries.values():
            self.world.put(f"servers/{entry.id}", entry)
        self.registry = self.world.registry
        self.registry.regions = self.registry.cold_limit.regions = fleet.regions
        self.registry.count_new_as_cold()
        self.shares = RegionShares(
            self.registry,
            PolicyTable(self.world.store_view),
            RegionReports(self.registry, name, home),
            regions=fleet.regions,
            home=home,
            shift_cap=CAP,
        )
        self.ranker = ServerRanker(self.registry, self.shares, fleet.regions)
        self.outliers = OutlierDetector(self.registry)
        self.selector = ServerSelector(
            self.registry,
            self.outliers,
            estimates=ReportedEstimates(fleet, self) if by_time else None,
            moves=RegionMoves(self.shares, CAP, name),
        )


class Sent(NamedTuple):
    """A request that was made.

    Args:
        at: When, in seconds.
        home: Region of its caller.
        in_target: True if it was answered in target.
        region: Region that it ran in; empty if it was refused.
        sooner: True if it moved to a server that answers sooner.
    """

    at: float
    home: str
    in_target: bool
    region: str = ""
    sooner: bool = False


class Fleet:
    """VMs and servers of three regions; region r0 has the first number of servers, and so on."""

    def __init__(self, *sizes: int, by_time: bool, vms: int = 24) -> None:
        self.rng = random.Random(7)
        self.regions = {f"h{number}": f"r{number}" for number in range(len(sizes))}
        self.entries: dict[str, BackendEntry] = {}
        self.workers: dict[str, Worker] = {}
        for region, size in enumerate(sizes):
            for number in range(size):
                self.add(f"s{region}-{number}", f"h{region}")
        self.reports: dict[str, Report] = {}
        self.sent: list[Sent] = []
        self.arrivals: Counter[str] = Counter()
        self.vms = [Vm(self, f"vm{n}", f"r{n % len(sizes)}", by_time=by_time) for n in range(vms)]
        weights = [1 / (number + 3) ** 0.6 for number in range(OBJECTS)]
        self.popularity = list(itertools.accumulate(weights))
        for vm, number in itertools.product(self.vms, reversed(range(OBJECTS))):
            first = vm.ranker.rank("rates", f"lane-{number}", (), 0.0).servers[0]
            self.workers[first.backend.id].keep_warm(f"lane-{number}")
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._numbers = itertools.count()

    @property
    def capacity_per_s(self) -> float:
        return len(self.entries) * SLOTS / WORK_S

    def add(self, server_id: str, hall: str) -> BackendEntry:
        address = f"10.0.{len(self.workers)}.1:80"
        entry = BackendEntry(server_id, "rates", address, hall, SLOTS)
        self.entries[server_id] = entry
        self.workers[server_id] = Worker()
        return entry

    def replace(self, old_id: str, now: float) -> None:
        """Replace a server by one that is cold, and works at half the pace, for its warm-up."""
        old = self.entries.pop(old_id)
        new = self.add(f"{old_id}-new", old.hall)._replace(cold_for_s=WARMUP_S)
        self.workers[new.id].pace = lambda at: 2.0 if at < now + WARMUP_S else 1.0
        for vm in self.vms:
            vm.world.remove(f"servers/{old_id}", now)
            vm.world.put(f"servers/{new.id}", new, now)

    def at(self, when: float, action: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), action, arguments))

    def play(self, seconds: float, load: Callable[[float, str], float]) -> float:
        """Play requests and return the part of those after 3 s that were answered in target.

        Args:
            seconds: Length, in seconds.
            load: Returns the demand of a region's callers at a time, as a fraction of an equal
                part of the capacity.
        """
        for number in range(int(seconds / REPORT_S)):
            self.at(number * REPORT_S, self._report)
        for vm in self.vms:
            peak = self.capacity_per_s / len(self.vms) * 3.5
            now = 0.0
            while (now := now + self.rng.expovariate(peak)) < seconds:
                if self.rng.random() < load(now, vm.home) / 3.5:
                    self.at(now, self._request, vm)
        while self._events:
            now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments, now)
        measured = [sent.in_target for sent in self.sent if sent.at >= 3.0]
        return sum(measured) / len(measured)

    def _report(self, now: float) -> None:
        for server_id, worker in self.workers.items():
            own = {
                vm: vm.registry.servers[server_id].in_flight
                for vm in self.vms
                if server_id in vm.registry.servers
            }
            self.reports[server_id] = Report(now, worker.held(now), worker.pace(now), own)
        for vm in self.vms:
            vm.shares.tick(now)

    def _request(self, vm: Vm, now: float) -> None:
        key = f"lane-{self.rng.choices(range(OBJECTS), cum_weights=self.popularity)[0]}"
        work_s = max(0.2, self.rng.gauss(WORK_S, 0.04))
        request = ClientRequest("q", "GET", "", "/", "/", (), b"", now, now + 2.5, key)
        for _ in range(2):
            ranking = vm.ranker.rank("rates", key, (), now)
            chosen = vm.selector.choose(request, ranking, "rates", now, ROUTE)
            if not isinstance(chosen, Selection):
                break
            server = chosen.server
            self.arrivals[server.backend.id] += 1
            end = self.workers[server.backend.id].end(key, work_s, now)
            if end is not None:
                vm.registry.take(server, now)
                self.at(end, self._answered, vm, server, key, now)
                region = self.regions[server.backend.hall]
                sooner = chosen.reason is SelectionReason.SOONER
                self.sent.append(Sent(now, vm.home, end - now <= TARGET_S, region, sooner))
                return
            server.record_load(SLOTS, QUEUE, now)
            request.attempts.append(Attempt(server.backend.id, Verdict.NOT_RUN, True, "shed-503"))
        self.sent.append(Sent(now, vm.home, False))

    def _answered(
        self, vm: Vm, server: BackendServer, key: str, started: float, now: float
    ) -> None:
        vm.registry.release(server, started)
        vm.registry.record_success(server, now - started, now)
        held = self.workers[server.backend.id].held(now)
        server.record_load(min(held, SLOTS), max(0, held - SLOTS), now)
        vm.outliers.sent_objects.record(server.backend.id, key, now)

    def largest_shift(self) -> float:
        """Return the largest part of a region's requests that change region between windows."""
        largest = 0.0
        for home in sorted(set(self.regions.values())):
            ran = [sent for sent in self.sent if sent.home == home and sent.region]
            windows = []
            for start in range(0, int(ran[-1].at * 10) - 20, 2):
                inside = [s.region for s in ran if start / 10 <= s.at < start / 10 + 2.0]
                windows.append({r: n / len(inside) for r, n in Counter(inside).items()})
            for before, after in zip(windows, windows[10:], strict=False):
                regions = before.keys() | after.keys()
                changes = [abs(after.get(r, 0.0) - before.get(r, 0.0)) for r in regions]
                largest = max(largest, sum(changes) / 2)
        return largest


def _unsteady_pace(fleet: Fleet, seconds: int) -> None:
    """Let paces change twice a second, and a fifth of the servers be five times slower in turn."""
    rng = random.Random(4)
    slow_from: dict[str, list[float]] = {server_id: [] for server_id in fleet.workers}
    for start in range(3, seconds, 5):
        for server_id in rng.sample(list(fleet.workers), len(fleet.workers) // 5):
            slow_from[server_id].append(float(start))
    for server_id, worker in fleet.workers.items():
        halves = [2.5 if rng.random() < 0.15 else 1.0 for _ in range(2 * seconds + 60)]

        def pace(now: float, starts: list[float] = slow_from[server_id], halves=halves) -> float:
            slow = any(start <= now < start + 3.0 for start in starts)
            return halves[int(now * 2)] * (5.0 if slow else 1.0)

        worker.pace = pace


class Loads(unittest.TestCase):
    """The part answered in target by load alone, and by expected answer time."""

    def _compare(
        self,
        sizes: tuple[int, ...],
        seconds: float,
        load: Callable[[float, str], float],
        prepare: Callable[[Fleet], None] = lambda _fleet: None,
    ) -> tuple[float, Fleet, Fleet]:
        """Return what is gained in target by time, and the fleets by load and by time."""
        parts, fleets = [], []
        for by_time in (False, True):
            fleet = Fleet(*sizes, by_time=by_time)
            prepare(fleet)
            parts.append(fleet.play(seconds, load))
            fleets.append(fleet)
        return parts[1] - parts[0], fleets[0], fleets[1]

    def test_a_fifth_slower_and_paces_that_change(self) -> None:
        gain, _, fleet = self._compare(
            (8, 8, 8), 14, lambda _now, _home: 0.6, lambda fleet: _unsteady_pace(fleet, 14)
        )
        self.assertGreater(gain, 0.14)
        self.assertLess(fleet.largest_shift(), CAP)

    def test_a_wave_with_its_peak_a_third_of_a_period_later_in_each_region(self) -> None:
        def load(now: float, home: str) -> float:
            return 0.7 * (1 + 0.55 * math.sin(2 * math.pi * (now / 24 - int(home[1]) / 3)))

        gain, by_load, by_time = self._compare((6, 8, 10), 36, load)
        self.assertGreater(gain, 0.09)
        # The first region divides its objects between regions: those that are often asked for shift
        # with chance alone.
        self.assertLess(by_time.largest_shift(), by_load.largest_shift() + 0.2 * CAP)

    def test_callers_of_a_region_that_move_to_another_one(self) -> None:
        def load(now: float, home: str) -> float:
            moved = 0.7 if now >= 5 else 0.0
            return 0.6 * {"r0": 1 - moved, "r1": 1 + moved}.get(home, 1.0)

        gain, _, fleet = self._compare((8, 12, 8), 15, load)
        self.assertGreater(gain, 0.05)
        self.assertLess(fleet.largest_shift(), CAP)

    def test_a_burst(self) -> None:
        gain, _, fleet = self._compare(
            (8, 8, 8), 15, lambda now, _home: 0.5 * (2.3 if 5 <= now < 10 else 1.0)
        )
        self.assertGreater(gain, 0.04)
        self.assertLess(fleet.largest_shift(), CAP)

    def test_servers_of_a_region_that_are_back_without_their_objects(self) -> None:
        def prepare(fleet: Fleet) -> None:
            def lose_objects(_now: float) -> None:
                for entry in fleet.entries.values():
                    if fleet.regions[entry.hall] == "r0":
                        fleet.workers[entry.id].warm.clear()
                        for vm in fleet.vms:
                            vm.outliers.sent_objects.forget(entry.id)

            fleet.at(5.0, lose_objects)

        gain, _, fleet = self._compare((8, 8, 8), 15, lambda _now, _home: 0.7, prepare)
        self.assertGreater(gain, 0.05)
        self.assertLess(fleet.largest_shift(), CAP)

    def test_more_than_the_servers_bear(self) -> None:
        gain, _, _ = self._compare((8, 8, 8), 12, lambda _now, _home: 1.3)
        self.assertGreater(gain, 0.08)

    def test_without_trouble_objects_stay_where_they_are(self) -> None:
        fleet = Fleet(8, 8, 8, by_time=True)
        self.assertGreater(fleet.play(10, lambda _now, _home: 0.6), 0.99)
        self.assertLess(sum(sent.sooner for sent in fleet.sent) / len(fleet.sent), 0.025)

    def test_servers_that_are_replaced_in_turn_all_get_requests(self) -> None:
        def prepare(fleet: Fleet) -> None:
            for number, server_id in enumerate(list(fleet.entries)[::2][:10]):
                fleet.at(3.0 + number, fleet.replace, server_id)

        gain, _, fleet = self._compare((8, 8, 8), 20, lambda _n, _h: 0.6, prepare)
        self.assertGreater(gain, 0.04)
        joined = [server_id for server_id in fleet.entries if server_id.endswith("-new")]
        self.assertEqual(len(joined), 10)
        self.assertGreater(min(fleet.arrivals[server_id] for server_id in joined), 30)


if __name__ == "__main__":
    unittest.main()
