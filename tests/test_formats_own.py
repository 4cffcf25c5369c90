"""What callers and operators get from the own interface, as the first release has it: answers,
refusals, the operators' port, the JSON of the command line, metrics, log lines, settings.

`formats/commands.txt` holds commands with `--json`, each with its exit status and its output on one
line. See `test_formats` for why the literals stay when the code is renamed.
"""

import asyncio
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from sprucewinch import errors
from sprucewinch.config.settings import load_settings
from sprucewinch.hall.metrics import Label, Metrics, merge_reports
from sprucewinch.hall.requests.backend import _headers as headers_to_server
from sprucewinch.net.asgi import AsgiResponder, send_refusal
from sprucewinch.net.http_server import ListenerLimits, make_listener
from sprucewinch.net.outcome import Outcome, Reason, Refusal

from .formats_gateway import Answered, asgi
from .formats_own import Lost, OwnVm, command, listening, state_app
from .test_formats import DOCUMENT, PLAN
from .test_formats_gateway import STATE
from .test_formats_lines import LINES
from .test_formats_peers import handed_on

ROOT = Path(__file__).resolve().parent.parent
DATA = Path(__file__).resolve().parent / "formats"
CLIENT = ("sprucewinch-client-block", "10.1.0.1")

# Status of each refusal.
STATUS = {
    "no-configuration": 503,
    "no-such-service": 404,
    "unknown-client": 404,
    "no-entry-vm": 503,
    "no-room": 503,
    "no-backend-server": 503,
    "link-full": 503,
    "leaving": 503,
    "deadline-passed": 504,
    "malformed": 400,
    "ticket-required": 428,
    "ticket-invalid": 409,
    "ticket-expired": 409,
    "ticket-table-full": 503,
    "ticket-home-lost": 502,
    "ticket-reused": 409,
    "already-running": 409,
    "already-ran": 409,
    "already-refused": 409,
    "backend-failed": 502,
    "backend-timeout": 504,
    "peer-failed": 502,
    "caller-left": 503,
    "overloaded-vm": 503,
}


def refused(reason: str, *, retry_ms: int = 0, outcome: str = "not-run", close: str = "") -> Any:
    """Return status, headers and body of a refusal."""
    body = f'{{"outcome":"{outcome}","reason":"{reason}","retry_after_ms":{retry_ms}}}'.encode()
    headers = (
        f"content-type: application/json\ncontent-length: {len(body)}\n"
        f"sprucewinch-outcome: {outcome}\nsprucewinch-reason: {reason}"
    )
    if retry_ms:
        headers += f"\nretry-after: {-(-retry_ms // 1000)}"
    return STATUS[reason], headers + close, body


def answered(body: bytes) -> Any:
    """Return status, headers and body of an answer of the VM's own."""
    return 200, f"content-type: application/json\ncontent-length: {len(body)}", body


def parts(answer: Answered) -> Any:
    """Return status, headers and body."""
    return answer.status, answer.headers, answer.body


def sent_by(send_all: Any) -> Any:
    """Return what a coroutine function sends, as `parts` does."""
    sent: list[dict] = []

    async def send(message: dict) -> None:
        sent.append(message)

    asyncio.run(send_all(send))
    lines = [f"{name.decode()}: {value.decode()}" for name, value in sent[0]["headers"]]
    body = b"".join(message.get("body", b"") for message in sent[1:])
    return sent[0]["status"], "\n".join(lines), body


class Refusals(unittest.TestCase):
    def test_every_reason(self) -> None:
        self.assertEqual({reason.value for reason in Reason}, set(STATUS))
        self.assertEqual({o.value for o in Outcome}, {"answered", "not-run", "unknown"})
        for reason in STATUS:
            for outcome, retry_ms in (("not-run", 0), ("unknown", 1500)):
                refusal = Refusal(Outcome(outcome), Reason(reason), retry_ms)
                with self.subTest(refusal):
                    found = sent_by(lambda send, r=refusal: send_refusal(send, r))
                    self.assertEqual(found, refused(reason, retry_ms=retry_ms, outcome=outcome))

    def test_one_that_closes_the_connection(self) -> None:
        refusal = Refusal(Outcome.NOT_RUN, Reason.LEAVING, 1000)
        found = sent_by(lambda send: send_refusal(send, refusal, close=True))
        expected = refused("leaving", retry_ms=1000, close="\nconnection: close")
        self.assertEqual(found, expected)

    def test_one_of_the_listener_itself(self) -> None:
        async def main() -> bytes:
            server = make_listener(_no_answer, ListenerLimits(20, connections=2, requests=2))
            loop = asyncio.get_running_loop()
            listener = await loop.create_server(_protocol(server), "127.0.0.1", 0)
            port = listener.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET / HTTP/1.1\r\nhost: a-name-that-is-too-long\r\n\r\n")
            found = await reader.read()
            writer.close()
            listener.close()
            return found

        self.assertEqual(
            asyncio.run(main()),
            b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
            b"content-type: application/json\r\nretry-after: 1\r\nconnection: close\r\n"
            b"content-length: 64\r\n\r\n"
            b'{"outcome":"unknown","reason":"malformed","retry_after_ms":1000}',
        )


async def _no_answer(scope: Any, receive: Any, send: Any) -> None:
    return None


def _protocol(server: Any) -> Any:
    """Return what makes the protocol of each connection of a server."""
    from uvicorn.server import ServerState

    server.config.load()
    return lambda: server.config.http_protocol_class(
        config=server.config, server_state=ServerState(), app_state={}
    )


class Callers(unittest.TestCase):
    LOOKUP = (
        b'{"service":"rates","region":"east","entry_vms":[{"vm":"a","hall":"east-1",'
        b'"region":"east","address":"127.0.0.1:7001"}],"ttl_ms":900,"revision":7}'
    )
    TICKETS = (
        b'{"tickets":["a:18f:0:book:94bea9a85f57672fb892",'
        b'"a:18f:1:book:51895ce5d52580c7dcce"],"lifetime_ms":300000}'
    )

    def test_without_a_configuration(self) -> None:
        vm = OwnVm()
        expected = refused("no-configuration", retry_ms=1000)
        for path in ("/v1/lookup?service=rates", "/v1/ready", "/v1/tickets?service=book"):
            with self.subTest(path):
                self.assertEqual(parts(vm.call(path)), expected)

    def test_answers(self) -> None:
        vm = OwnVm().configure(DOCUMENT, 7)
        lookup = "/v1/lookup?service=rates&block=10.1.0.0/24"
        self.assertEqual(parts(vm.call(lookup)), answered(self.LOOKUP))
        self.assertEqual(parts(vm.call("/v1/ready")), answered(b'{"vm":"a","revision":7}'))
        tickets = vm.call("/v1/tickets?service=book&count=2")
        self.assertEqual(parts(tickets), answered(self.TICKETS))

    def test_refusals(self) -> None:
        vm = OwnVm().configure(DOCUMENT, 7)
        self.assertEqual(parts(vm.call("/x")), refused("no-such-service"))
        count = vm.call("/v1/tickets?service=book&count=x")
        self.assertEqual(parts(count), refused("malformed"))
        book = vm.call("/s/book/a", method="POST", headers=(CLIENT,))
        self.assertEqual(parts(book), refused("ticket-required"))
        deadline = (CLIENT, ("sprucewinch-deadline-ms", "x"))
        late = vm.call("/s/rates/a", headers=deadline)
        self.assertEqual(parts(late), refused("malformed", close="\nconnection: close"))
        ticket = (CLIENT, ("sprucewinch-ticket", "a:18f:9:book:00"))
        forged = vm.call("/s/book/a", method="POST", headers=ticket)
        self.assertEqual(parts(forged), refused("ticket-invalid"))

    def test_a_servers_answer(self) -> None:
        async def answer(send: Any) -> None:
            responder = AsgiResponder(send, "east-1")
            await responder.start(200, [("Content-Type", "text/plain"), ("X-A", "1")])
            await responder.write(b"abc")
            await responder.finish()

        headers = "content-type: text/plain\nx-a: 1\nsprucewinch-outcome: answered\n"
        self.assertEqual(sent_by(answer), (200, headers + "sprucewinch-hall: east-1", b"abc"))

    def test_headers_to_a_server(self) -> None:
        expected = [
            ("x-a", "1"),
            ("sprucewinch-request-id", "q1"),
            ("sprucewinch-deadline-ms", "2500"),
        ]
        self.assertEqual(list(headers_to_server(handed_on(), 2.5).items()), expected)


# Name on the wire, status of the operators' port, exit status of the command line.
ERRORS = {
    "ConfigurationError": (400, 2),
    "PolicyError": (400, 2),
    "ConflictError": (409, 3),
    "StaleStoreError": (409, 3),
    "WriteUnknownError": (502, 5),
    "PlatformError": (503, 4),
}


class OperatorsPort(unittest.TestCase):
    def problem(self, answer: Answered, status: int, name: str) -> None:
        table = json.loads(answer.body)
        self.assertEqual(list(table), ["error", "problem", "remedy"])
        self.assertEqual((answer.status, table["error"]), (status, name))

    def test_an_answer(self) -> None:
        answer = OwnVm().operate("GET", "/v1/configuration")
        body = b'{"revision":0,"configuration":null,"drained":[]}'
        headers = "content-length: 48\ncontent-type: application/json"
        self.assertEqual(parts(answer), (200, headers, body))

    def test_problems(self) -> None:
        vm = OwnVm().configure(DOCUMENT, 7)
        self.problem(vm.operate("POST", "/v1/configuration", b"{}"), 400, "ConfigurationError")
        self.problem(vm.operate("PUT", "/v1/policies/p", b'{"source":"x"}'), 400, "PolicyError")
        self.problem(vm.operate("POST", "/v1/restore"), 409, "ConflictError")
        stale = OwnVm()
        stale.learn("steer/configuration", DOCUMENT, 7)
        drain = ("PUT", "/v1/drains/hall/east-1")
        self.problem(stale.operate(*drain), 409, "StaleStoreError")
        lost = OwnVm(Lost()).configure(DOCUMENT, 7)
        self.problem(lost.operate(*drain), 502, "WriteUnknownError")
        vm.store.down = True
        self.problem(vm.operate(*drain), 503, "PlatformError")

    def test_a_call_without_token(self) -> None:
        answer = asyncio.run(asgi(OwnVm().operators, "/v1/status"))
        self.problem(answer, 401, "Refused")

    def test_names_and_exit_statuses(self) -> None:
        exits = {name: getattr(errors, name).exit_code for name in ERRORS}
        self.assertEqual(exits, {name: exit_code for name, (_, exit_code) in ERRORS.items()})
        others = {"SprucewinchError": 1, "SettingsError": 2, "LogError": 2, "DaemonError": 4}
        self.assertEqual({name: getattr(errors, name).exit_code for name in others}, others)


class Command(NamedTuple):
    """One command and what comes of it."""

    words: str
    status: int
    output: str


def commands() -> list[Command]:
    """Return the commands of `formats/commands.txt`."""
    found = []
    for part in (DATA / "commands.txt").read_text(encoding="utf-8").split("$ ")[1:]:
        line, _, output = part.partition("\n")
        words, _, status = line.partition(" -> ")
        found.append(Command(words, int(status), output.strip()))
    return found


class CommandLine(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        program = "def shares(snapshot):\n    return {snapshot['client_region']: 1}\n"
        (self.folder / "good.txt").write_text(program)
        first = '"id":"q1","outcome":"no-configuration"'
        (self.folder / "log").write_text(LINES.replace(first, first.replace("q1", "q0")))
        self.shown = (DATA / "shown.toml").read_text(encoding="utf-8")
        (self.folder / "shown.toml").write_text(self.shown)

    def test_json(self) -> None:
        vm = OwnVm().configure(DOCUMENT, 7)
        with listening(vm.operators) as operators, listening(state_app(STATE)) as state:
            for given in commands():
                words = given.words.replace("FOLDER", str(self.folder)).replace("STATE", state)
                status, output, _ = command([*words.split(), "--json"], operators)
                expected = (
                    json.dumps(json.loads(given.output), indent=2) + "\n" if given.output else ""
                )
                with self.subTest(given.words):
                    self.assertEqual((status, output), (given.status, expected))

    def test_a_shown_configuration_is_applied_as_it_is(self) -> None:
        vm = OwnVm().configure(DOCUMENT, 7)
        with listening(vm.operators) as operators:
            self.assertEqual(command(["config", "show"], operators)[:2], (0, self.shown))
            words = ["config", "apply", str(self.folder / "shown.toml"), "--json"]
            status, output, _ = command(words, operators)
            self.assertEqual((status, json.loads(output)["revision"]), (0, 8))
            again = self.shown.replace("# base revision: 7", "# base revision: 8")
            self.assertEqual(command(["config", "show"], operators)[:2], (0, again))


MEASURES = (
    '{"counters": {"answered": 2}, "refusals": [{"service": "rates", "hall": "east-1", '
    '"policy": "nearest@0", "reason": "no-room", "count": 1}], "latency_ms": [{"service": "rates", '
    '"hall": "east-1", "policy": "nearest@0", "count": 2, "p50": 10.047, "p99": 20.095, '
    '"p99.9": 20.095}], "headroom": [{"service": "rates", "hall": "east-1", "policy": "nearest@0", '
    '"least": 0.25}], "drains": [{"thing": "server:x", "seconds": 1.5}]}'
)


class Measures(unittest.TestCase):
    def test_report(self) -> None:
        metrics, label = Metrics(), Label("rates", "east-1", "nearest@0")
        metrics.answered(label, 0.01)
        metrics.answered(label, 0.02)
        metrics.refused(label, "no-room")
        metrics.record_headroom(label, 0.25)
        metrics.drained("server:x", 1.5)
        self.assertEqual(json.dumps(metrics.report()), MEASURES)
        merged = merge_reports([metrics.report()])
        self.assertEqual(json.dumps(merged), MEASURES)


class Lines(unittest.TestCase):
    def test_of_the_node(self) -> None:
        vm = OwnVm().configure(DOCUMENT, 7)
        vm.learn("steer/configuration", DOCUMENT.replace(b'"revision":7', b'"revision":8', 1), 9)
        vm.learn("steer/plan/east", PLAN, 4)
        vm.leave()
        problem = (
            "stored configuration says revision 8, its envelope 9; apply the configuration again"
        )
        self.assertEqual(
            vm.lines,
            [
                "event=in-force revision=7",
                "event=state vm=a state=serving",
                f"event=rejected key=steer/configuration problem='{problem}'",
                "event=state vm=a state=leaving",
                "event=state vm=a state=gone",
            ],
        )

    def test_as_text_and_as_json(self) -> None:
        line = "event=platform state=down problem='no answer; try again'"
        text, table = _formatted("text", line), json.loads(_formatted("json", line))
        self.assertRegex(text, f"^time='[^']+' level=info {line}\n$")
        fields = ["time", "level", "event", "state", "problem"]
        self.assertEqual(list(table), fields)
        self.assertEqual(
            list(table.values())[1:], ["info", "platform", "down", "no answer; try again"]
        )


def _formatted(log_format: str, line: str) -> str:
    """Return a line as a daemon writes it to standard error."""
    program = f"from sprucewinch import log; log.configure({log_format!r}); log.state({line!r})"
    command = [sys.executable, "-c", program]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, check=True, text=True)
    return done.stderr


SETTINGS = {
    "vm": "van-1-vm1",
    "hall": "van-1",
    "region": "lower-mainland",
    "caller_address": "127.0.0.1:7001",
    "peer_address": "127.0.0.1:7002",
    "operators_address": "127.0.0.1:7003",
    "operators_token": "change-me-change-me",
    "platform_address": "127.0.0.1:7900",
    "peers": ["127.0.0.1:7012", "127.0.0.1:7022"],
    "log_format": "text",
    "limits": {
        "header_bytes": 16384,
        "memory_body_bytes": 65536,
        "connections": 2000,
        "requests": 1000,
    },
    "stop": {"report_s": 5.0},
}


class SettingsFile(unittest.TestCase):
    def test_the_example_has_every_key(self) -> None:
        found = load_settings(ROOT / "examples/vm.toml")
        self.assertEqual(json.loads(msgspec.json.encode(found)), SETTINGS)

    def test_a_key_that_is_not_known_is_refused(self) -> None:
        text = (ROOT / "examples/vm.toml").read_text(encoding="utf-8")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "vm.toml"
            for key in ("vm", "caller_address", "peers", "header_bytes", "report_s"):
                path.write_text(text.replace(f"\n{key} =", f"\n{key}_ ="), encoding="utf-8")
                with self.subTest(key), self.assertRaises(errors.SettingsError):
                    load_settings(path)
