"""What callers, backend servers and operators get from the routed request path, as the first
release has it: answers, refusals, readiness, look-ups, metrics, `/state`, settings, deploy file.

See `test_formats` for why the literals stay when the code is renamed.
"""

import asyncio
import json
import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from sprucewinch.errors import SettingsError
from sprucewinch.gateway.requests.client_request import RefusalReason
from standins.scripted_server import Spoil
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .formats_gateway import SETTINGS, Answered, VirtualGateway

from node_settings import METRICS_PORT, POLICY_VARIABLE, load  # isort: skip

ROOT = Path(__file__).resolve().parent.parent
CALLER = (
    ("x-request-id", "q1"),
    ("x-request-deadline-ms", "2000"),
    ("cookie", "a=b; X-Affinity-Key=7"),
    ("x-a", "1"),
    ("connection", "keep-alive"),
    ("accept-encoding", "gzip"),
    ("x-expected-instance", "forged"),
)
REASONS = {
    "no-configuration",
    "no-route",
    "unknown-key",
    "behind",
    "over-quota",
    "no-quota",
    "no-region",
    "malformed",
    "too-large",
    "no-server",
    "no-room",
    "no-time",
    "crashes-servers",
    "stopping",
    "timeout",
    "failed",
}
LATER = r"0\.[2-7][0-9]*"
"""When a caller that met no room is told to come back, in seconds: 0.25 to 0.75."""


def refusal_reasons() -> set[str]:
    """Return all reasons that the code knows."""
    return {reason.value for reason in RefusalReason}


def settings_as_read(found: Any) -> dict[str, Any]:
    """Return settings by the keys that they were read from, those that are used."""
    bounds = found.bounds
    return {
        "NodeName": found.name,
        "Zone": found.hall,
        "Region": found.region,
        "Zones": found.regions,
        "Listen.Front": found.caller_address,
        "Listen.Ready": found.ready_address,
        "Listen.Directory": found.directory_address,
        "Ip:InternalPorts[0]": found.peer_address,
        "Ip:9464": found.metrics_address,
        "Platform.Address": found.store_address,
        "Heartbeat": found.server_heartbeat_s,
        "Limits.MaxFds": found.max_files,
        "Limits.MemoryMb": found.memory_bytes,
        "Limits.LinkMbps": found.link_mbps,
        "Limits.CpuShare*Cores": found.cores,
        "SPRUCEWINCH_POLICY": found.policy,
        "Bounds.Grace": bounds.grace_s,
        "Bounds.ttl_max": bounds.lookup_ttl_s,
        "Bounds.BudgetWindow": bounds.retry_window_s,
        "Bounds.MaxShift": bounds.shift_cap,
        "Bounds.RetryBudgetRatio": bounds.retry_ratio,
        "Bounds.BudgetSlack": bounds.retry_slack,
        "Bounds.ColdOver": bounds.cold_over,
        "Bounds.ColdSlack": bounds.cold_slack,
    }


def load_settings(text: bytes) -> Any:
    """Read a settings file."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings"
        path.write_bytes(text)
        return load(path)


class Answers(unittest.TestCase):
    def refusal(
        self, answer: Answered, status: int, reason: str, more: tuple[str, str] = ("", "")
    ) -> None:
        """Check a whole refusal; `more` is what stands before and after the length."""
        body = b'{"reason":"%s"}' % reason.encode()
        before, after = more
        headers = f"content-type: application/json\n{before}content-length: {len(body)}{after}"
        self.assertEqual((answer.status, answer.body), (status, body))
        self.assertRegex(answer.headers, f"^{headers}$")

    def test_the_reasons(self) -> None:
        self.assertEqual(refusal_reasons(), REASONS)

    def test_a_servers_answer_and_what_the_server_got(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=1).started()
            answer = await vm.ask("/rates/a%20b?q=1", headers=CALLER)
            self.assertEqual((answer.status, answer.body), (200, b"the whole answer"))
            self.assertEqual(
                answer.headers,
                "x-request-id: q1\nx-response-signature: s0.q1\ncontent-length: 16",
            )
            run = vm.servers[0].runs[0]
            self.assertEqual((run.method, run.target), ("GET", "/rates/a%20b?q=1"))
            self.assertEqual(
                list(run.headers.items()),
                [
                    ("host", "quotes.example"),
                    ("x-request-id", "q1"),
                    ("cookie", "a=b; X-Affinity-Key=7"),
                    ("x-a", "1"),
                    ("x-expected-instance", "s0"),
                    ("x-request-deadline-ms", "798"),
                ],
            )

        run_virtual(main)

    def test_refusals_before_anything_is_sent(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = VirtualGateway(loop)
            soon = ("retry-after: 0.3\n", "")
            self.refusal(await vm.ask(headers=CALLER), 503, "no-configuration", soon)
            await vm.started()
            self.refusal(await vm.ask("/x", headers=CALLER), 404, "no-route")
            self.refusal(await vm.ask("*", headers=CALLER), 400, "malformed")
            later = (f"retry-after: {LATER}\n", "")
            self.refusal(await vm.ask("/none/1", headers=CALLER), 503, "no-server", later)
            large = await vm.ask("/book/1", method="POST", body=b"x" * 1001, headers=CALLER)
            self.refusal(large, 413, "too-large")

        run_virtual(main)

    def test_refusals_after_a_send(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=1).started()
            server = vm.servers[0]
            server.spoils = [Spoil.LOST]
            lost = await vm.ask("/book/1", method="POST", body=b"x", headers=CALLER)
            self.refusal(lost, 502, "failed")
            await pass_time(5.0)
            server.work_s = 9.0
            late = await vm.ask("/book/1", method="POST", body=b"x", headers=CALLER)
            self.refusal(late, 504, "timeout")

        run_virtual(main)

    def test_a_refusal_for_want_of_room_and_one_at_a_stop(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=1).started()
            vm.servers[0].work_s = 0.7
            first = [asyncio.create_task(vm.ask(headers=CALLER)) for _ in range(40)]
            answers = [await task for task in first]
            refusal = [answer for answer in answers if answer.status == 503]
            self.refusal(refusal[0], 503, "no-room", (f"retry-after: {LATER}\n", ""))
            held = asyncio.create_task(vm.ask("/none/1", method="POST", stalls=True))
            await pass_time(0.1)
            closing = ("", "\nconnection: close")
            await vm.stop()
            vm.abort_all()
            self.refusal(await held, 503, "stopping", (f"retry-after: {LATER}\n", closing[1]))
            self.refusal(await vm.ask("/x", headers=CALLER), 404, "no-route", closing)

        run_virtual(main)

    def test_readiness(self) -> None:
        async def main(loop: VirtualLoop) -> list[tuple[int, str, bytes]]:
            vm = VirtualGateway(loop)
            found = [await vm.readiness("/sprucewinch/readyz")]
            await vm.started()
            found += [await vm.readiness(p) for p in ("/sprucewinch/readyz", "/readyz")]
            return [(a.status, a.headers, a.body) for a in found]

        headers = "content-type: text/plain\ncontent-length: 0"
        expected = [(status, headers, b"") for status in (503, 200, 404)]
        self.assertEqual(run_virtual(main), expected)

    def test_look_ups(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = VirtualGateway(loop)
            query = "?Name=x&Region=east&Zone=east-a"
            found = await vm.resolve("/sprucewinch/resolve" + query)
            self.assertEqual((found.status, found.body), (503, b""))
            await vm.started()
            found = await vm.resolve("/sprucewinch/resolve" + query)
            self.assertEqual(found.headers, "content-type: application/json\ncontent-length: 40")
            self.assertEqual(found.body, b'{"Addresses":["10.1.0.34:1"],"Ttl":"1s"}')
            self.assertEqual((await vm.resolve("/resolve" + query)).status, 404)

        run_virtual(main)


METRICS = """\
probes 2
requests_answered 1
requests_left 1
requests_no-route 1
announced_revision 0
answer_bytes 0
answer_bytes_arriving 0
backend_connections_opened 1
backend_servers 2
bodies_arriving 0
body_bytes 0
capacity_requests_per_s 750
configuration_version 7
connections_in_body 0
connections_in_discarded 0
connections_in_head 0
connections_in_idle 0
connections_in_lingering 0
connections_paused 0
in_flight 0
limit_vms 1
load_rows_dropped 0
load_rows_used 0
load_summaries_received 0
load_summaries_sent 0
loop_hold_max_ms{step="store-changes"} 0
loop_hold_max_ms{step="sweep"} 0
loop_hold_max_ms{step="tick"} 0
loop_holds_long{step="store-changes"} 0
loop_holds_long{step="sweep"} 0
loop_holds_long{step="tick"} 0
loop_late_ms{quantile="100"} 0
loop_late_ms{quantile="50"} 0
loop_late_ms{quantile="99"} 0
members 1
members_open 1
memory_peak_mib N
neighbour_deltas 0
quota_asks 0
requests_behind_others 0
requests_held 0
server_links_up 1
servers_cold 0
servers_doubted 0
servers_leaving 0
servers_limited 0
servers_load_age_s 0
servers_load_known 0
servers_resting 0
state_rows{table="admission_demand"} 0
state_rows{table="answer_counts"} 1
state_rows{table="cold_answers"} 0
state_rows{table="demand"} 1
state_rows{table="fair_orders"} 1
state_rows{table="latency_by_route"} 1
state_rows{table="low_quantiles"} 1
state_rows{table="recovery_schedules"} 0
state_rows{table="region_moves"} 0
state_rows{table="relay_pauses"} 0
state_rows{table="retry_budget_lines"} 0
state_rows{table="retry_budgets"} 1
state_rows{table="service_rooms"} 0
state_rows{table="share_limiters"} 1
state_rows{table="share_notes"} 1
state_rows{table="share_targets"} 1
state_rows{table="split_shares"} 0
state_rows{table="typical_times"} 1
state_rows{table="typical_work"} 0
state_rows{table="typical_work_samples"} 0
state_rows{table="usual_loads"} 1
state_rows{table="usual_waits"} 0
state_rows{table="work_times"} 1
state_rows{table="work_times_by_route"} 1
store_age_s 0.334
store_calls 5
store_era 0
store_revision 4
latency_ms{route="r1",quantile="50"} 54.015
latency_ms{route="r1",quantile="90"} 54.015
latency_ms{route="r1",quantile="99"} 54.015
"""
STATE = (
    '{"name":"vm1","region":"east","ready":true,"configuration_version":7,"store_revision":3,'
    '"store_age_s":0.234,"evacuated":[],"members":{"vm1":true},"services":['
    '{"service":"nobody","policy":"capacity","shares":{"east":1.0,"west":0.0},'
    '"limits":["drained:east","drained:east"]},'
    '{"service":"rates","policy":"capacity","shares":{"east":1.0,"west":0.0},"limits":[]}],'
    '"backend_servers":[{"id":"s0","service":"rates","zone":"east-a","in_flight":0,"load":0.0,'
    '"cold":false,"draining":false,"paused":false,"latency_ms":54.0,'
    '"pace":1.0,"load_age_s":1000000000.0}],'
    '"quarantined":[],"workspaces":[],"statements":[]}'
)


class Shown(unittest.TestCase):
    def test_metrics(self) -> None:
        async def main(loop: VirtualLoop) -> str:
            vm = await VirtualGateway(loop, servers=2).started()
            await vm.ask(headers=CALLER)
            await vm.ask("/x", headers=CALLER)
            for server in vm.servers:
                server.work_s = 9.0
            await vm.ask(headers=CALLER, leaves=asyncio.sleep(0.1))
            return vm.metrics()

        text, found = re.subn(
            r"(?m)^memory_peak_mib [1-9].*$", "memory_peak_mib N", run_virtual(main)
        )
        self.assertEqual((text, found), (METRICS, 1))

    def test_state(self) -> None:
        async def main(loop: VirtualLoop) -> str:
            vm = await VirtualGateway(loop, servers=1).started()
            await vm.ask(headers=CALLER)
            await vm.ask("/none/1", headers=CALLER)
            return vm.state()

        self.assertEqual(run_virtual(main), STATE)


AS_READ = {
    "NodeName": "vm1",
    "Zone": "east-a",
    "Region": "east",
    "Zones": {"east-a": "east", "west-a": "west"},
    "Listen.Front": "10.1.0.34:1",
    "Listen.Ready": "10.1.0.34:2",
    "Listen.Directory": "10.1.0.34:3",
    "Ip:InternalPorts[0]": "10.1.0.34:7540",
    "Ip:9464": "10.1.0.34:9464",
    "Platform.Address": "10.9.0.1:80",
    "Heartbeat": 2.0,
    "Limits.MaxFds": 4100,
    "Limits.MemoryMb": 314572800,
    "Limits.LinkMbps": 100,
    "Limits.CpuShare*Cores": 1.5,
    "SPRUCEWINCH_POLICY": "capacity",
    "Bounds.Grace": 7.0,
    "Bounds.ttl_max": 4.0,
    "Bounds.BudgetWindow": 9.0,
    "Bounds.MaxShift": 0.1,
    "Bounds.RetryBudgetRatio": 0.3,
    "Bounds.BudgetSlack": 64,
    "Bounds.ColdOver": 1.5,
    "Bounds.ColdSlack": 5,
}
WRONG = (
    (b'"Zone":"east-a",', b"", "Zone: found None, not of type str"),
    (b'"MaxFds":4100', b'"MaxFds":"x"', "MaxFds: found 'x', not of type int"),
    (b'"2s"', b'"2"', "Heartbeat: found '2', not a time such as 1500ms or 2.5s"),
    (b'"Contact":"2500ms"', b'"Contact":3', "Contact: found 3, not a time such as 1500ms or 2.5s"),
    (b'"Drain":"1s"', b'"Drain":"x"', "Drain: found 'x', not a time such as 1500ms or 2.5s"),
)


class Settings(unittest.TestCase):
    def test_every_key_is_read(self) -> None:
        with mock.patch.dict(os.environ, clear=False):
            os.environ.pop("SPRUCEWINCH_POLICY", None)
            self.assertEqual(settings_as_read(load_settings(SETTINGS)), AS_READ)
            os.environ["SPRUCEWINCH_POLICY"] = "nearest"
            self.assertEqual(load_settings(SETTINGS).policy, "nearest")
        self.assertEqual((POLICY_VARIABLE, METRICS_PORT), ("SPRUCEWINCH_POLICY", 9464))

    def test_the_variable_that_names_the_file(self) -> None:
        environment = {**os.environ, "SPRUCEWINCH_CONFIG": "nowhere.json"}
        command = [sys.executable, "platform/main.py"]
        done = subprocess.run(
            command, cwd=ROOT, env=environment, capture_output=True, check=False, text=True
        )
        self.assertEqual((done.returncode, done.stderr.partition(":")[0]), (2, "nowhere.json"))

    def test_keys_that_may_be_absent(self) -> None:
        table = json.loads(SETTINGS)
        for key in ("Heartbeat", "Bounds"):
            del table[key]
        del table["Listen"]["Directory"], table["Limits"]["LinkMbps"]
        del table["Limits"]["CpuShare"]
        found = settings_as_read(load_settings(json.dumps(table).encode()))
        absent = {
            "Listen.Directory": "",
            "Heartbeat": 1.5,
            "Limits.LinkMbps": 0,
            "Limits.CpuShare*Cores": 0.0,
            "Bounds.Grace": 6.0,
            "Bounds.ttl_max": 5.0,
            "Bounds.BudgetWindow": 10.0,
            "Bounds.MaxShift": 0.15,
            "Bounds.RetryBudgetRatio": 0.2,
            "Bounds.BudgetSlack": 0.0,
            "Bounds.ColdOver": 1.0,
            "Bounds.ColdSlack": 0.0,
        }
        self.assertEqual({**found, "SPRUCEWINCH_POLICY": "capacity"}, {**AS_READ, **absent})

    def test_wrong_ones_are_named(self) -> None:
        for old, new, problem in WRONG:
            with self.subTest(problem), self.assertRaises(SettingsError) as caught:
                load_settings(SETTINGS.replace(old, new))
            self.assertTrue(
                str(caught.exception).endswith(
                    f": {problem}; compare it with platform/settings.json"
                ),
                caught.exception,
            )


DEPLOY = """\
build = "[ target/deps -nt requirements.lock ] || (python3 -m pip install -q --no-deps \
--require-hashes --upgrade --target target/deps -r requirements.lock && touch target/deps)"

[roles.entry]
run = "python3 platform/main.py"
on = "front"
share = 1.0
serves = ["front", "directory"]
metrics = "9464/metrics"
template = "platform/settings.json"
"""


class Deploy(unittest.TestCase):
    def test_files(self) -> None:
        self.assertEqual((ROOT / "deploy/system.toml").read_text(encoding="utf-8"), DEPLOY)
        template = (ROOT / "platform/settings.json").read_text(encoding="utf-8")
        self.assertEqual(template.strip(), "{{.|json}}")
        self.assertTrue((ROOT / "platform/main.py").is_file())
