"""Servers that state that they are leaving, or ask for a pause, get no further requests.

The tests guard against two failures. During an outage of the store a server stated in its answers
that it was leaving while its entry still said ready, and VMs that had received this sent it
requests 2.4 and 2.7 s later. Another server refused every request and asked for a pause of 3 s
(`"sends":[["i-7ea2","not-run","shed-503",4.1],["i-9c08","not-run","shed-503",2.0]]`), and got 108
requests in 9 s, because any refusal caused a pause of only 50 ms.

What a server states to a VM therefore holds there, whatever its entry says, until another process
of the server runs or the requested time has passed. If no server accepts requests, callers are
refused at once with the time at which the first one will.
"""

import base64
import itertools
import json
import unittest

from standins.virtual import VirtualLoop, pass_time, run_virtual

from .crash_fleet import CrashVm
from .statement_fleet import StatementFleet, broken_bounds, sent_after_statement, sent_in_pauses

DRAIN_S = 2.0
"""Time from a server's statement to a VM until that VM sends it nothing more, in seconds."""

PAUSE_S = 2.0


class ServerStatements(unittest.TestCase):
    def test_a_server_gets_nothing_while_it_states_so(self) -> None:
        broken = {
            "it leaves, its entry says ready": run_virtual(_one_leaves),
            "it leaves, its entry lapses and comes back": run_virtual(_entry_comes_back),
            "all leave": run_virtual(_all_leave),
            "settings and replicas are reloaded": run_virtual(_all_reload),
            "one asks for a pause": run_virtual(_one_pauses),
            "all ask for a pause": run_virtual(_all_pause),
        }
        self.assertEqual({case: found for case, found in broken.items() if found}, {})

    def test_a_value_that_states_nothing_changes_nothing(self) -> None:
        for name, text in (("Server-Leaving", "0"), ("Server-Leaving", "yes")):
            with self.subTest(text=text):
                self.assertEqual(run_virtual(lambda loop, n=name, t=text: _states(loop, n, t)), [])


async def _states(loop: VirtualLoop, name: str, text: str) -> list[str]:
    fleet = await StatementFleet.start(loop)
    server = fleet.servers()[0]
    began = loop.time()
    usual = sum(began - 3.0 <= at for at in server.arrivals) / 3.0
    server.says[name] = text
    await pass_time(5.0)
    after = sum(began <= at for at in server.arrivals) / 5.0
    served = fleet.served(began, began + 4.0)
    return broken_bounds(after=(after, ">=", 0.7 * usual), served=(served, ">=", 1.0))


async def _one_leaves(loop: VirtualLoop) -> list[str]:
    """Return the broken bounds with a leaving server whose entry still says ready."""
    fleet = await StatementFleet.start(loop)
    server = fleet.servers()[0]
    since = loop.time()
    server.says["Server-Leaving"] = "1"
    for _ in range(4):
        await pass_time(2.0)
        _write_ready(fleet, server.server_id)
    return _gets_nothing(fleet, server, since)


async def _entry_comes_back(loop: VirtualLoop) -> list[str]:
    """Return the broken bounds with a leaving server whose entry is removed and written again."""
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
    return _gets_nothing(fleet, server, since)


async def _all_reload(loop: VirtualLoop) -> list[str]:
    """Return the broken bounds when all VMs reload their settings and replicas."""
    fleet = await StatementFleet.start(loop)
    leaving, paused = fleet.servers()[:2]
    since = loop.time()
    leaving.says["Server-Leaving"] = "1"
    paused.turns_away, paused.rest = (lambda: True), "8"
    await pass_time(3.0)
    for vm in fleet.fleet.vms:
        _reload(vm)
        _list_without(vm, leaving.server_id, paused.server_id)
    for server in (leaving, paused):
        _write_ready(fleet, server.server_id)
    await pass_time(4.0)
    known = [len(vm.gateway.servers.registry.servers) for vm in fleet.fleet.vms]
    return broken_bounds(
        late=(sent_after_statement(fleet.fleet, leaving, since, DRAIN_S), "<=", 0),
        sent_in_pause=(sent_in_pauses(fleet.fleet, paused), "<=", 0),
        served=(fleet.served(since, since + 6.0), ">=", 0.99),
        known=(min(known), ">=", len(fleet.servers())),
    )


def _reload(vm: CrashVm) -> None:
    """Let a VM reload changed settings."""
    settings = vm.gateway.settings
    bounds = settings.bounds._replace(retry_ratio=settings.bounds.retry_ratio / 2)
    vm.gateway.reloader.reread = lambda: settings._replace(bounds=bounds)
    vm.gateway.reloader.reload()


def _list_without(vm: CrashVm, *server_ids: str) -> None:
    """Let a VM get a full listing from a peer without the entries of some servers."""
    whole = vm.store_view.replica.since(0)._replace(is_snapshot=True)
    gone = {f"servers/{server_id}" for server_id in server_ids}
    items = tuple(item for item in whole.items if item.key not in gone)
    vm.store_view.apply(whole._replace(items=items), vm.loop.time())


def _gets_nothing(fleet: StatementFleet, server, since: float) -> list[str]:
    served = fleet.served(since, since + 7.0)
    return broken_bounds(
        late=(sent_after_statement(fleet.fleet, server, since, DRAIN_S), "<=", 0),
        served=(served, ">=", 0.99),
    )


def _write_ready(fleet: StatementFleet, server_id: str) -> None:
    """Write a server's entry again, as its heartbeat does."""
    key = f"servers/{server_id}"
    entry = json.loads(base64.b64decode(fleet.fleet.store.items[key]["Value"]))
    entry["Sequence"] += 1
    fleet.fleet.store.put(key, json.dumps(entry).encode())


async def _all_leave(loop: VirtualLoop) -> list[str]:
    """Return the broken bounds when all servers leave: callers are refused at once with a time."""
    fleet = await StatementFleet.start(loop)
    since = loop.time()
    for server in fleet.servers():
        server.says["Server-Leaving"] = "1"
    await pass_time(6.0)
    late = max(sent_after_statement(fleet.fleet, s, since, DRAIN_S) for s in fleet.servers())
    return broken_bounds(late=(late, "<=", 0), **_refusals(fleet, since + DRAIN_S + 1.0))


async def _one_pauses(loop: VirtualLoop) -> list[str]:
    """Return the broken bounds with a server that refuses half its requests for a while."""
    fleet = await StatementFleet.start(loop)
    server = fleet.servers()[0]
    since = loop.time()
    usual = sum(since - 3.0 <= at for at in server.arrivals) / 3.0
    turns = itertools.cycle((True, False))
    server.turns_away = lambda: next(turns)
    server.rest = f"{PAUSE_S:g}"
    await pass_time(8.0)
    server.turns_away = lambda: False
    ended = loop.time()
    await pass_time(PAUSE_S + 6.0)
    after_pause = sum(ended + PAUSE_S + 2.0 <= at for at in server.arrivals) / 4.0
    return broken_bounds(
        sent_in_pause=(sent_in_pauses(fleet.fleet, server), "<=", 0),
        served=(fleet.served(since, since + 8.0), ">=", 0.99),
        after_pause=(after_pause, ">=", 0.7 * usual),
    )


async def _all_pause(loop: VirtualLoop) -> list[str]:
    """Return the broken bounds when all servers ask for a pause at once."""
    fleet = await StatementFleet.start(loop)
    since = loop.time()
    for server in fleet.servers():
        server.turns_away = lambda: True
        server.rest = f"{PAUSE_S:g}"
    await pass_time(1.0)
    for server in fleet.servers():
        server.turns_away = lambda: False
    await pass_time(8.0)
    sent_in_pause = max(sent_in_pauses(fleet.fleet, s) for s in fleet.servers())
    back = since + 1.0 + PAUSE_S + 1.6
    served = fleet.served(back, back + 3.0)
    refusals = _refusals(fleet, since + 0.5, since + 1.5)
    return broken_bounds(
        sent_in_pause=(sent_in_pause, "<=", 0), served=(served, ">=", 0.99), **refusals
    )


def _refusals(fleet: StatementFleet, since: float, until: float = float("inf")) -> dict:
    """Return the bounds on requests while no server accepts any."""
    rows = [row for row in fleet.callers.rows if since <= row[0] < until]
    refused = [row for row in rows if row[2] == 503]
    return {
        "refused": (len(refused), ">=", 1),
        "longest_s": (max((row[1] for row in refused), default=0.0), "<=", 0.8),
        "without_time": (sum(row[3] is None for row in refused), "<=", 0),
    }


if __name__ == "__main__":
    unittest.main()
