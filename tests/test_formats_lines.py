"""The log lines of the routed request path, as the first release has them.

Each line is one JSON object; `time` and `event` come first. Every event is brought about by what
brings it about in service. See `test_formats` for why the literals stay when the code is renamed.
"""

import asyncio
import json
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from standins.consortium_store import Fault
from standins.scripted_server import Spoil
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .estimate_fakes import StatedEstimates, estimate
from .formats_gateway import VirtualGateway, server_item
from .pipelined_app import OneConnection
from .pipelined_caller import request

CALLER = (
    ("x-request-id", "q1"),
    ("x-request-deadline-ms", "2000"),
    ("cookie", "X-Affinity-Key=7"),
)
# Event and its fields in order, after `time` and `event`.
EVENTS = {
    "caller-reads-nothing": (
        "held_bytes",
        "unread_s",
        "answer_bytes",
        "body_bytes",
        "budget_bytes",
    ),
    "cold-send": ("server", "id", "why", "part", "sent", "vms"),
    "configuration": ("version", "routes"),
    "fact": ("key", "word", "revision"),
    "fault": ("loop", "error"),
    "follows": ("source", "at"),
    "probe": ("server", "status", "cold_s"),
    "reload": ("outcome",),
    "request": ("id", "outcome", "status", "route", "object", "ms", "version", "sends"),
    "request-stopped": (
        "id",
        "end",
        "server",
        "stop_ms",
        "read_ms",
        "whole_ms",
        "sent_ms",
        "ended_ms",
    ),
    "retry-budget": ("service", "retries", "requests", "vms", "age_s"),
    "server-cold": ("server", "why", "for_s"),
    "server-ejected": ("server", "for_s", "usual_ms"),
    "server-links": ("up", "tried", "reached", "refused"),
    "server-rests": ("server", "why", "id"),
    "server-restarted": ("server", "in_flight"),
    "start": ("name", "incarnation"),
    "stop": ("in_flight",),
    "stopping": ("in_flight",),
    "store": ("up", "problem", "at"),
    "store-history-gone": ("after",),
    "unreadable": ("key", "cause"),
}
# Fields that stand at the end of some lines of an event only.
MORE = {"request": ("blocked",), "reload": ("cause",)}

LINES = """\
{"time":1000.0,"event":"request","id":"q1","outcome":"no-configuration","status":503,"route":"",\
"object":"7","ms":0.0,"version":0,"sends":[]}
{"time":1000.008,"event":"configuration","version":7,"routes":3}
{"time":1000.008,"event":"fact","key":"servers/s0","word":"new","revision":1}
{"time":1000.054,"event":"probe","server":"s0","status":200,"cold_s":null}
{"time":1000.508,"event":"store","up":true,"problem":"","at":2}
{"time":1000.514,"event":"fact","key":"sprucewinch/members/vm1","word":"new","revision":3}
{"time":1003.054,"event":"request","id":"q1","outcome":"answered","status":200,"route":"r1",\
"object":"7","ms":54.0,"version":7,"sends":[["s0","answered","answered",54.0]]}
{"time":1003.054,"event":"request","id":"q1","outcome":"no-route","status":404,"route":"",\
"object":"7","ms":0.0,"version":7,"sends":[]}
{"time":1003.054,"event":"request","id":"q1","outcome":"malformed","status":400,"route":"",\
"object":"7","ms":0.0,"version":7,"sends":[]}
{"time":1003.054,"event":"request","id":"q1","outcome":"too-large","status":413,"route":"",\
"object":"7","ms":0.0,"version":7,"sends":[]}
{"time":1003.054,"event":"request","id":"q1","outcome":"no-server","status":503,"route":"none",\
"object":"7","ms":0.0,"version":7,"sends":[],"blocked":{"server_id":"","in_flight":0,\
"window":0.0,"load":0.0,"told_s":0.0}}
{"time":1003.554,"event":"request","id":"q1","outcome":"timeout","status":504,"route":"once",\
"object":"7","ms":500.0,"version":7,"sends":[["s0","unknown","timeout",500.0]]}
{"time":1003.654,"event":"request","id":"q1","outcome":"left","status":0,"route":"",\
"object":"7","ms":100.0,"version":7,"sends":[]}
{"time":1003.654,"event":"reload","outcome":"unchanged"}
{"time":1003.654,"event":"reload","outcome":"taken"}
{"time":1003.654,"event":"reload","outcome":"refused","cause":"settings: no Zone; write it"}
{"time":1003.654,"event":"stopping","in_flight":0}
{"time":1006.854,"event":"stop","in_flight":0}
"""


async def _a_day(loop: VirtualLoop) -> list[str]:
    """Return the lines of a VM from its start to its stop."""
    vm = VirtualGateway(loop, servers=1)
    await vm.ask(headers=CALLER)
    await vm.started()
    await vm.ask(headers=CALLER)
    await vm.ask("/x", headers=CALLER)
    await vm.ask("*", headers=CALLER)
    await vm.ask("/book/1", method="POST", body=b"x" * 1001, headers=CALLER)
    await vm.ask("/none/1", headers=CALLER)
    vm.servers[0].work_s = 9.0
    await vm.ask("/book/1", method="POST", body=b"x", headers=CALLER)
    await vm.ask(headers=CALLER, leaves=asyncio.sleep(0.1))
    vm.reload()
    vm.reload_changed()
    vm.reload_unusable()
    await vm.stop()
    return vm.lines


async def _whole_run(loop: VirtualLoop) -> list[str]:
    vm = VirtualGateway(loop)
    await vm.run(2.0)
    return vm.lines


async def _broken_off(loop: VirtualLoop) -> list[str]:
    vm = await VirtualGateway(loop, servers=1).started()
    vm.servers[0].work_s = 3.0
    headers = (("x-request-id", "q1"),)
    ask = asyncio.create_task(vm.ask("/book/1", method="POST", body=b"x", headers=headers))
    await pass_time(0.1)
    vm.gateway.requests.app.stop()
    vm.abort_all()
    await ask
    return vm.lines


async def _failing_loop(loop: VirtualLoop) -> list[str]:
    vm = VirtualGateway(loop)
    await vm.fail_a_loop()
    return vm.lines


async def _servers_in_trouble(loop: VirtualLoop) -> list[str]:
    vm = await VirtualGateway(loop, servers=10).started()
    vm.store.put("servers/s0", b"{}")
    for _ in range(12):
        vm.datagram(b"\x92\xa3bad\xa2s1")
        await pass_time(0.05)
    vm.store.put("op/evacuate/east-a", b"")
    await pass_time(2.0)
    vm.store.remove("op/evacuate/east-a")
    await pass_time(2.0)
    await vm.ask(headers=CALLER)
    await _start_again(vm)
    for number, server in enumerate(vm.servers):
        del loop.listeners[f"10.0.0.{number + 1}:80"]
        server.reset()
    await vm.ask(headers=CALLER)
    return vm.lines


async def _start_again(vm: VirtualGateway) -> None:
    """Let the store name two processes of one backend server, one after the other."""
    for born in (1, 2):
        vm.store.put("servers/s1", server_item("10.0.0.2:80", born=born))
        await pass_time(1.0)


async def _store_in_trouble(loop: VirtualLoop) -> list[str]:
    vm = await VirtualGateway(loop).started()
    vm.store.fault = Fault.BUSY
    await pass_time(4.0)
    vm.store.put("op/evacuate/west-a", b"")
    vm.store.forget()
    vm.store.fault = Fault.NONE
    await pass_time(6.0)
    return vm.lines


async def _peers(loop: VirtualLoop) -> list[str]:
    """Let three others of the region, with wider links, follow the store."""
    vm = await VirtualGateway(loop).started()
    names = (b"m0", b"m1", b"m2")
    for name in names:
        value = (
            b'{"name":"%s","zone":"east-a","region":"east","caller_address":"10.0.1.1:80",'
            b'"peer_address":"10.0.1.1:70"}' % name
        )
        vm.store.put(f"sprucewinch/members/{name.decode()}", value)
    for beat in range(1, 20):
        rows = b"".join(b"\x96\xa2%s\x01%c\xc3\xc3\x7f" % (name, beat) for name in names)
        vm.datagram(b"\x94\xa4beat\xa2m0\x01\x93" + rows)
        vm.datagram(b"\x94\xa4news\xa2m0\x01\x64")
        await pass_time(0.3)
    await pass_time(4.0)
    return vm.lines


async def _caller_that_reads_nothing(loop: VirtualLoop) -> list[str]:
    return (await _with_a_caller_that_reads_nothing(loop)).lines


async def _with_a_caller_that_reads_nothing(loop: VirtualLoop) -> VirtualGateway:
    """Return a VM whose memory is short because of bodies, when one caller has read nothing."""
    vm = await VirtualGateway(loop, servers=1).started()
    app = vm.gateway.requests.app
    caller = OneConnection(app, memory=app.answers)
    caller.transport.stalled = True
    caller.receive(request("q1"))
    await pass_time(1.0)
    app.bodies.take(app.bodies.max_bytes)
    await pass_time(6.0)
    return vm


async def _with_a_spent_budget(loop: VirtualLoop) -> VirtualGateway:
    vm = await VirtualGateway(loop, servers=3).started()
    for server in vm.servers:
        server.spoil_of = lambda _run: Spoil.FAILED
    for _ in range(120):
        await vm.ask(headers=CALLER)
        await pass_time(0.02)
    return vm


async def _spent_budget(loop: VirtualLoop) -> list[str]:
    return (await _with_a_spent_budget(loop)).lines


async def _counted_denials(loop: VirtualLoop) -> str:
    return (await _with_a_spent_budget(loop)).metrics()


DRIVERS: tuple[Callable[[VirtualLoop], Coroutine[Any, Any, list[str]]], ...] = (
    _a_day,
    _whole_run,
    _broken_off,
    _failing_loop,
    _servers_in_trouble,
    _store_in_trouble,
    _peers,
    _caller_that_reads_nothing,
    _spent_budget,
)


class Lines(unittest.TestCase):
    maxDiff = None

    def test_a_day_line_by_line(self) -> None:
        self.assertEqual("\n".join(run_virtual(_a_day)) + "\n", LINES)

    def test_the_first_and_the_last_line(self) -> None:
        lines = run_virtual(_whole_run)
        first = '{"time":1000.0,"event":"start","name":"vm1","incarnation":1000000}'
        self.assertEqual((lines[0], json.loads(lines[-1])["event"]), (first, "stop"))

    def test_each_event_has_its_fields_in_order(self) -> None:
        seen = set()
        for driver in DRIVERS:
            for text in run_virtual(driver):
                row = json.loads(text)
                event = row["event"]
                seen.add(event)
                fields = ("time", "event", *EVENTS[event])
                with self.subTest(text):
                    self.assertIn(tuple(row), (fields, fields + MORE.get(event, ())))
        self.assertEqual(seen, EVENTS.keys())

    def test_values_that_say_what_happened(self) -> None:
        trouble = _rows(_servers_in_trouble)
        ejected = {"event": "server-ejected", "server": "s1", "for_s": 2.0, "usual_ms": 0.0}
        self.assertIn(ejected, trouble)
        cause = "Service: found None, not of type str"
        self.assertIn({"event": "unreadable", "key": "servers/s0", "cause": cause}, trouble)
        gone = {"event": "fact", "key": "op/evacuate/east-a", "word": "gone", "revision": 15}
        self.assertIn(gone, trouble)
        self.assertIn({"event": "probe", "server": "s3", "status": 200, "cold_s": None}, trouble)
        store = _rows(_store_in_trouble)
        problem = "status 503 on kv-watch"
        self.assertIn({"event": "store", "up": False, "problem": problem, "at": 2}, store)
        self.assertIn({"event": "store-history-gone", "after": 2}, store)
        follows = [row["source"] for row in _rows(_peers) if row["event"] == "follows"]
        self.assertEqual(follows, ["neighbours", "store"])


def _rows(driver: Callable[[VirtualLoop], Coroutine[Any, Any, list[str]]]) -> list[dict]:
    """Return the lines of a driver without their times."""
    rows = [json.loads(text) for text in run_virtual(driver)]
    for row in rows:
        del row["time"]
    return rows


class Admission(unittest.TestCase):
    """Where servers state their pace, a refusal and `/state` have more fields at their end."""

    def test_fields_and_counters(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=1).started()
            gate = vm.gateway.requests.pipeline.choice.admission
            gate.estimates = estimates = StatedEstimates()
            estimates.by_id["s0"] = estimate(work_s=0.05, queued_work_s=0.05, held=5.0)
            await vm.ask(headers=CALLER)
            estimates.by_id["s0"] = estimate(work_s=0.05, queued_work_s=0.05, held=50.0, age_s=0.0)
            refused = await vm.ask(headers=CALLER)
            self.assertEqual(refused.status, 503)
            row = vm.rows("request")[-1]
            blocked = ["server_id", "in_flight", "window", "load", "told_s", "admission"]
            self.assertEqual(list(row["blocked"]), blocked)
            self.assertEqual(row["blocked"]["admission"], "target-missed")
            counters = vm.metrics().splitlines()
            for name in ("sent_in-time", "refused_target-missed"):
                self.assertIn(f"admission_{name} 1", counters)
            state = json.loads(vm.state())
            self.assertEqual(list(state)[-1], "kinds")
            names = "service workspace_rank priority steps_over_share callers"
            rates = "asked_per_s sent_per_s refused_per_s slots"
            self.assertEqual(list(state["kinds"][0]), f"{names} {rates}".split())
            self.assertEqual(state["kinds"][0]["callers"], "first")

        run_virtual(main)


class Counters(unittest.TestCase):
    # Names in `/metrics` beyond those of `test_formats_gateway`.
    NAMES = (
        "connections_closed_unread",
        "items_unreadable",
        "lines_dropped",
        "loop_faults",
        "probes",
        "repeats_after_answered",
        "repeats_after_not-run",
        "repeats_after_unknown",
        "requests_failed",
        "requests_no-room",
        "requests_no-server",
        "requests_stopping",
        "requests_timeout",
        "retries_denied",
        "retries_taken",
        "server_restarts",
    )

    def test_names(self) -> None:
        seen: set[str] = set()
        counted = (
            _counted_faults,
            _counted_repeats,
            _counted_refusals,
            _counted_unread,
            _counted_denials,
        )
        for driver in counted:
            text = run_virtual(driver)
            seen |= {line.rpartition(" ")[0] for line in text.splitlines()}
        self.assertEqual([name for name in self.NAMES if name not in seen], [])


async def _counted_faults(loop: VirtualLoop) -> str:
    vm = await VirtualGateway(loop, servers=2).started()
    vm.store.put("servers/s0", b"{}")
    vm.store.put("op/evacuate/east-a", b"")
    await pass_time(2.0)
    vm.store.remove("op/evacuate/east-a")
    await pass_time(2.0)
    await vm.ask(headers=CALLER)
    await _start_again(vm)
    await vm.fail_a_loop()
    for _ in range(400):
        vm.reload()
    return vm.metrics()


async def _counted_unread(loop: VirtualLoop) -> str:
    return (await _with_a_caller_that_reads_nothing(loop)).metrics()


async def _counted_repeats(loop: VirtualLoop) -> str:
    vm = await VirtualGateway(loop, servers=3).started()
    for spoil in (Spoil.FAILED, Spoil.LOST):
        for server in vm.servers:
            server.spoils = [spoil]
        await vm.ask(headers=CALLER)
        for server in vm.servers:
            server.spoils = []
        await pass_time(5.0)
    for server in vm.servers:
        server.slots = 0
    await vm.ask(headers=CALLER)
    return vm.metrics()


async def _counted_refusals(loop: VirtualLoop) -> str:
    vm = await VirtualGateway(loop, servers=1).started()
    await vm.ask("/none/1", headers=CALLER)
    vm.servers[0].spoils = [Spoil.LOST]
    await vm.ask("/book/1", method="POST", body=b"x", headers=CALLER)
    await pass_time(5.0)
    vm.servers[0].work_s = 0.7
    await asyncio.gather(*(vm.ask(headers=CALLER) for _ in range(40)))
    vm.servers[0].work_s = 9.0
    await vm.ask("/book/1", method="POST", body=b"x", headers=CALLER)
    held = asyncio.create_task(vm.ask("/book/1", method="POST", stalls=True))
    await pass_time(0.1)
    vm.abort_all()
    await held
    return vm.metrics()
