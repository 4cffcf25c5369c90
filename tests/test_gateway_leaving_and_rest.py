"""A server that said that it leaves, and servers that asked for rest, got requests all the same.

During an outage of the store a server stated in its answers that it leaves; its entry went on
saying ready, and VMs that it had told sent requests 2.4 and 2.7 s later. Another turned every
request away and asked for 3 s of rest:
`"sends":[["i-7ea2","not-run","shed-503",4.1],["i-9c08","not-run","shed-503",2.0]]`, 108 of them in
9 s, as a refusal made a pause of 50 ms whatever it asked for.

So what a server says of itself holds at each VM that it has told, until another process of it runs
or the time that it asked for is over, whatever its entry says; where no server takes requests,
callers are refused at once with the time at which the first one does.
"""

import base64
import itertools
import json
import unittest

from standins.virtual import VirtualLoop, pass_time, run_virtual

from .crash_fleet import CrashVm
from .statement_fleet import StatementFleet, broken_bounds, sent_after_told, sent_in_rests

DRAIN_S = 2.0
"""Time from a server's word until the VM that it told sends nothing more, in seconds."""

REST_S = 2.0


class Words(unittest.TestCase):
    def test_a_server_is_left_alone_when_it_says_so(self) -> None:
        broken = {
            "it leaves, its entry says ready": run_virtual(_leaves),
            "it leaves, its entry lapses and comes back": run_virtual(_entry_comes_back),
            "all leave": run_virtual(_all_leave),
            "settings and replicas are read anew": run_virtual(_read_anew),
            "one asks for rest": run_virtual(_one_rests),
            "all ask for rest": run_virtual(_all_rest),
        }
        self.assertEqual({case: found for case, found in broken.items() if found}, {})

    def test_what_says_nothing_loses_nobody(self) -> None:
        for name, text in (("Server-Leaving", "0"), ("Server-Leaving", "yes")):
            with self.subTest(text=text):
                self.assertEqual(run_virtual(lambda loop, n=name, t=text: _says(loop, n, t)), [])


async def _says(loop: VirtualLoop, name: str, text: str) -> list[str]:
    fleet = await StatementFleet.start(loop)
    server = fleet.servers()[0]
    began = loop.time()
    usual = sum(began - 3.0 <= at for at in server.arrivals) / 3.0
    server.says[name] = text
    await pass_time(5.0)
    after = sum(began <= at for at in server.arrivals) / 5.0
    served = fleet.served(began, began + 4.0)
    return broken_bounds(after=(after, ">=", 0.7 * usual), served=(served, ">=", 1.0))


async def _leaves(loop: VirtualLoop) -> list[str]:
    """Return what is broken by a server whose entry goes on saying ready."""
    fleet = await StatementFleet.start(loop)
    server = fleet.servers()[0]
    since = loop.time()
    server.says["Server-Leaving"] = "1"
    for _ in range(4):
        await pass_time(2.0)
        _write_ready(fleet, server.server_id)
    return _left_alone(fleet, server, since)


async def _entry_comes_back(loop: VirtualLoop) -> list[str]:
    """Return what is broken by a server whose entry goes and is there again."""
    fleet = await StatementFleet.start(loop)
    server = fleet.servers()[0]
    since = loop.time()
    server.says["Server-Leaving"] = "1"
    await pass_time(3.0)
    key = f"servers/{server.server_id}"
    entry = base64.b64decode(fleet.fleet.store.items[key]["Value"])
    fleet.fleet.store.remove(key)
    await pass_time(1.0)
    fleet.fleet.store.put(key, entry)
    await pass_time(4.0)
    return _left_alone(fleet, server, since)


async def _read_anew(loop: VirtualLoop) -> list[str]:
    """Return what is broken when all VMs reload their settings and get their replicas anew."""
    fleet = await StatementFleet.start(loop)
    leaves, rests = fleet.servers()[:2]
    since = loop.time()
    leaves.says["Server-Leaving"] = "1"
    rests.turns_away, rests.rest = (lambda: True), "8"
    await pass_time(3.0)
    for vm in fleet.fleet.vms:
        _reload(vm)
        _list_without(vm, leaves.server_id, rests.server_id)
    for server in (leaves, rests):
        _write_ready(fleet, server.server_id)
    await pass_time(4.0)
    known = [len(vm.gateway.servers.registry.servers) for vm in fleet.fleet.vms]
    return broken_bounds(
        late=(sent_after_told(fleet.fleet, leaves, since, DRAIN_S), "<=", 0),
        beyond=(sent_in_rests(fleet.fleet, rests), "<=", 0),
        served=(fleet.served(since, since + 6.0), ">=", 0.99),
        known=(min(known), ">=", len(fleet.servers())),
    )


def _reload(vm: CrashVm) -> None:
    """Let a VM take over settings that have changed."""
    settings = vm.gateway.settings
    bounds = settings.bounds._replace(retry_ratio=settings.bounds.retry_ratio / 2)
    vm.gateway.reloader.reread = lambda: settings._replace(bounds=bounds)
    vm.gateway.reloader.reload()


def _list_without(vm: CrashVm, *server_ids: str) -> None:
    """Let a VM get a whole listing from a peer that lacks the entries of some servers."""
    whole = vm.store_view.replica.since(0)._replace(whole=True)
    gone = {f"servers/{server_id}" for server_id in server_ids}
    items = tuple(item for item in whole.items if item.key not in gone)
    vm.store_view.apply(whole._replace(items=items), vm.loop.time())


def _left_alone(fleet: StatementFleet, server, since: float) -> list[str]:
    served = fleet.served(since, since + 7.0)
    return broken_bounds(
        late=(sent_after_told(fleet.fleet, server, since, DRAIN_S), "<=", 0),
        served=(served, ">=", 0.99),
    )


def _write_ready(fleet: StatementFleet, server_id: str) -> None:
    """Write a server's entry again, as its heartbeat does."""
    key = f"servers/{server_id}"
    entry = json.loads(base64.b64decode(fleet.fleet.store.items[key]["Value"]))
    entry["Sequence"] += 1
    fleet.fleet.store.put(key, json.dumps(entry).encode())


async def _all_leave(loop: VirtualLoop) -> list[str]:
    """Return what is broken when all servers leave: callers are refused at once with a time."""
    fleet = await StatementFleet.start(loop)
    since = loop.time()
    for server in fleet.servers():
        server.says["Server-Leaving"] = "1"
    await pass_time(6.0)
    late = max(sent_after_told(fleet.fleet, s, since, DRAIN_S) for s in fleet.servers())
    return broken_bounds(late=(late, "<=", 0), **_refusals(fleet, since + DRAIN_S + 1.0))


async def _one_rests(loop: VirtualLoop) -> list[str]:
    """Return what is broken by a server that turns half away for a while, and then none."""
    fleet = await StatementFleet.start(loop)
    server = fleet.servers()[0]
    since = loop.time()
    usual = sum(since - 3.0 <= at for at in server.arrivals) / 3.0
    turns = itertools.cycle((True, False))
    server.turns_away = lambda: next(turns)
    server.rest = f"{REST_S:g}"
    await pass_time(8.0)
    server.turns_away = lambda: False
    ended = loop.time()
    await pass_time(REST_S + 6.0)
    again = sum(ended + REST_S + 2.0 <= at for at in server.arrivals) / 4.0
    return broken_bounds(
        beyond=(sent_in_rests(fleet.fleet, server), "<=", 0),
        served=(fleet.served(since, since + 8.0), ">=", 0.99),
        again=(again, ">=", 0.7 * usual),
    )


async def _all_rest(loop: VirtualLoop) -> list[str]:
    """Return what is broken when all servers ask for rest at once."""
    fleet = await StatementFleet.start(loop)
    since = loop.time()
    for server in fleet.servers():
        server.turns_away = lambda: True
        server.rest = f"{REST_S:g}"
    await pass_time(1.0)
    for server in fleet.servers():
        server.turns_away = lambda: False
    await pass_time(8.0)
    beyond = max(sent_in_rests(fleet.fleet, s) for s in fleet.servers())
    back = since + 1.0 + REST_S + 1.6
    served = fleet.served(back, back + 3.0)
    refusals = _refusals(fleet, since + 0.5, since + 1.5)
    return broken_bounds(beyond=(beyond, "<=", 0), served=(served, ">=", 0.99), **refusals)


def _refusals(fleet: StatementFleet, since: float, until: float = float("inf")) -> dict:
    """Return the bounds on requests of a time in which no server takes any."""
    rows = [row for row in fleet.callers.rows if since <= row[0] < until]
    refused = [row for row in rows if row[2] == 503]
    return {
        "refused": (len(refused), ">=", 1),
        "longest_s": (max((row[1] for row in refused), default=0.0), "<=", 0.8),
        "without_time": (sum(row[3] is None for row in refused), "<=", 0),
    }


if __name__ == "__main__":
    unittest.main()
