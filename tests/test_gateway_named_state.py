"""What a VM keeps by the names of routes and services ends with these names.

An entry VM kept a histogram of 25 KB for each route that had ever answered, and a few rows for each
split route and each service, until it was killed at its memory. The tests send requests to routes
that come and go, and look at the named tables and at all other containers of the VM.
"""

import asyncio
import json
import unittest
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucewinch.gateway.state.named_state import REMOVED_SERVICE_KEPT_S, NameKind
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .crash_fleet import CrashFleet, CrashVm
from .gateway_process import CONFIGURATION, HOST

SETTLED_S = REMOVED_SERVICE_KEPT_S + 30.0
"""Time after which nothing of a removed name is needed: longer than the window of retries, the time
for which region reports count, and the interval of the sweep."""

_APPLIED_S = 1.0


class Asked(NamedTuple):
    """One configuration of a series, and the routes that get requests under it.

    Args:
        routes: Numbers of its routes; each has a service of its own.
        split: Numbers of the routes that are split between two services.
        asked: Numbers of the routes that get requests.
    """

    routes: frozenset[int]
    split: frozenset[int]
    asked: frozenset[int]


_numbers = st.frozensets(st.integers(0, 4), max_size=4)
_series = st.lists(st.builds(Asked, _numbers, _numbers, _numbers), min_size=1, max_size=4)


def _route(number: int, *, split: bool) -> dict[str, Any]:
    fields = {
        "Name": f"route-{number}",
        "PathPrefix": f"/n{number}/",
        "RouteType": "safe",
        "Timeout": "2s",
        "MaxAttempts": 2,
    }
    if not split:
        return {**fields, "Service": f"service-{number}"}
    parts = {f"service-{number}": 50, "rates": 50}
    weights = [{"Service": name, "Weight": weight} for name, weight in parts.items()]
    return {**fields, "TrafficSplit": weights}


def _configuration(version: int, each: Asked) -> dict[str, Any]:
    routes = [_route(number, split=number in each.split) for number in sorted(each.routes)]
    services = [{"Name": f"service-{number}", "Warmup": "1s"} for number in sorted(each.routes)]
    return {
        **CONFIGURATION,
        "Version": f"r{version}",
        "Services": [*CONFIGURATION["Services"], *services],
        "Hosts": [{"Hostname": HOST, "Paths": [*CONFIGURATION["Hosts"][0]["Paths"], *routes]}],
    }


def _put_servers(fleet: CrashFleet, before: frozenset[int], after: frozenset[int]) -> None:
    """Let each service of a configuration have one backend server, and no other service any."""
    address = next(iter(fleet.addresses.values()))
    for number in before - after:
        fleet.store.remove(f"servers/own-{number}")
    for number in after - before:
        row = {
            "Service": f"service-{number}",
            "Address": address,
            "Zone": "east-a",
            "Capacity": 6,
            "State": "ready",
            "WarmupLeft": "0ms",
            "Version": "v1",
            "Sequence": 1,
        }
        fleet.store.put(f"servers/own-{number}", json.dumps(row).encode())


async def _ask(vm: CrashVm, fleet: CrashFleet, number: int) -> None:
    request = fleet.request(f"/n{number}/1")
    reply = await vm.gateway.requests.pipeline.run(request)
    vm.gateway.events.replied(request, reply, 0.1)


async def _play(fleet: CrashFleet, series: Iterable[Asked]) -> None:
    """Put a series of configurations in force, with requests under each and across the change."""
    [vm] = fleet.vms
    before: frozenset[int] = frozenset()
    waiting: list[asyncio.Task] = []
    for version, each in enumerate(series, 10):
        _put_servers(fleet, before, each.routes)
        fleet.store.put("op/config", json.dumps(_configuration(version, each)).encode())
        before = each.routes
        await pass_time(_APPLIED_S)
        for _ in range(3):
            waiting += [asyncio.create_task(_ask(vm, fleet, number)) for number in each.asked]
            await pass_time(0.05)
    await asyncio.gather(*waiting)


def _containers(start: Any) -> Iterator[Any]:
    """Yield all containers that the objects of the product hold, from one object on."""
    seen: set[int] = set()
    waiting = [start]
    while waiting:
        held = waiting.pop()
        if id(held) in seen or isinstance(held, (type, CrashVm, asyncio.AbstractEventLoop)):
            continue
        seen.add(id(held))
        if isinstance(held, Mapping):
            yield held
            waiting += [*held.keys(), *held.values()]
        elif isinstance(held, (list, tuple, set, frozenset, deque)):
            yield held
            waiting += held
        elif type(held).__module__.startswith(("sprucewinch", "kv_store", "store_items")):
            waiting += _attributes(held)
        elif hasattr(held, "__self__"):
            waiting.append(held.__self__)


def _attributes(held: Any) -> list[Any]:
    names = {slot for kind in type(held).__mro__ for slot in getattr(kind, "__slots__", ())}
    values = [getattr(held, name, None) for name in names]
    return [*values, *getattr(held, "__dict__", {}).values()]


def _names_held(vm: CrashVm, names: set[str]) -> list[str]:
    """Return which of some names stand in a container of the VM, with what stands beside them."""
    return [
        f"{value} in {type(container).__name__} {str(container)[:200]}"
        for container in _containers(vm.gateway)
        for value in container
        if isinstance(value, str) and value in names
    ]


def _names_of(numbers: Iterable[int]) -> set[str]:
    return {f"{kind}-{number}" for kind in ("route", "service") for number in numbers}


class NamesThatComeAndGo(unittest.TestCase):
    def test_rows_of_removed_routes_are_dropped_with_the_configuration(self) -> None:
        # Guards against an entry VM that grows with each route that ever answered a request.
        async def main(loop: VirtualLoop) -> dict[str, int]:
            fleet = await CrashFleet(loop, vms=1, servers=3).ready()
            both = frozenset({0, 1, 2})
            await _play(fleet, [Asked(both, both, both)])
            await _put_in_force(fleet, Asked(frozenset(), both, frozenset()), 20)
            tables = fleet.vms[0].gateway.parts.named_state._tables()
            return {t.title: len(t.rows) for t in tables if t.kind is NameKind.ROUTE if t.rows}

        self.assertEqual(run_virtual(main), {})

    @given(_series)
    @settings(max_examples=25, deadline=None)
    def test_after_any_configurations_no_removed_name_is_held(self, series: list[Asked]) -> None:
        # Guards against mappings by name that nothing ends, whichever part keeps them.
        async def main(loop: VirtualLoop) -> list[str]:
            fleet = await CrashFleet(loop, vms=1, servers=3).ready()
            await _play(fleet, series)
            await pass_time(SETTLED_S)
            # Rankings of servers are cached until a request comes after a change of the servers.
            await fleet.ask(0, "/rates/1")
            return _names_held(fleet.vms[0], _names_of(set(range(5)) - series[-1].routes))

        self.assertEqual(run_virtual(main), [])

    def test_a_search_for_held_names_finds_those_in_force(self) -> None:
        async def main(loop: VirtualLoop) -> set[str]:
            fleet = await CrashFleet(loop, vms=1, servers=3).ready()
            await _play(fleet, [Asked(frozenset({3}), frozenset({3}), frozenset({3}))])
            held = _names_held(fleet.vms[0], _names_of({3}))
            return {row.split(" ")[0] for row in held}

        self.assertEqual(run_virtual(main), _names_of({3}))

    def test_a_service_that_is_back_soon_keeps_its_retry_budget(self) -> None:
        # Guards against a configuration that is rolled back and grants a budget of retries anew.
        async def main(loop: VirtualLoop) -> tuple[bool, bool]:
            fleet = await CrashFleet(loop, vms=1, servers=3).ready()
            there, gone = Asked(frozenset({0}), frozenset(), frozenset({0})), frozenset()
            await _play(fleet, [there])
            budgets = fleet.vms[0].gateway.requests.pipeline.budgets
            before = budgets.of("service-0")
            await _put_in_force(fleet, Asked(gone, gone, gone), 20)
            await pass_time(REMOVED_SERVICE_KEPT_S / 2)
            await _put_in_force(fleet, there, 21)
            kept = budgets.of("service-0") is before
            await _put_in_force(fleet, Asked(gone, gone, gone), 22)
            _put_servers(fleet, frozenset({0}), gone)
            await pass_time(SETTLED_S)
            return kept, budgets.of("service-0") is before

        self.assertEqual(run_virtual(main), (True, False))


async def _put_in_force(fleet: CrashFleet, each: Asked, version: int) -> None:
    fleet.store.put("op/config", json.dumps(_configuration(version, each)).encode())
    await pass_time(_APPLIED_S)
