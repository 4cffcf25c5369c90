"""Tests that the soak finds what goes wrong with requests sent together and with large answers."""

import asyncio
import random
import signal
import unittest
from types import SimpleNamespace
from unittest import mock

from standins.scripted_server import HEALTH_PATH, Run, ScriptedServer, Spoil
from standins.virtual import VirtualLoop, run_virtual
from tools.soak.backend_servers import BackendServers, body_of
from tools.soak.configuration import DOWNLOADS, RATES, Configuration
from tools.soak.connection import CallerConnection
from tools.soak.ledger import Attempt, End, Ledger, MemoryUse, TroubleSpan
from tools.soak.troubles.callers import SendTogether
from tools.soak.troubles.kinds import CALLER_KINDS, FIRST_SEED_OF_CALLER_KINDS, kinds_of
from tools.soak.troubles.statements import StateLoad

from .test_soak import Judged


def _answer(number: int, *, route: str = RATES, extra: str = "") -> bytes:
    """Return the whole answer to the attempt with a number."""
    request_id = f"t{number}"
    body = body_of(Run(request_id, "GET", f"/{route}/{request_id}", b"", {}, 0.0))
    head = f"HTTP/1.1 200 OK\r\nX-Response-Signature: i-1.{request_id}\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class AnswersInOrder(unittest.IsolatedAsyncioTestCase):
    """Three requests that are sent together to a listener, which answers with given bytes."""

    async def _ask(self, answers: bytes, *, then_ends: bool = True) -> tuple[list, set, bool]:
        """Return how the attempts ended, the promises broken, and if the connection goes on."""

        writers = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            for _ in range(3):
                await reader.readuntil(b"\r\n\r\n")
            writer.write(answers)
            if then_ends:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        ledger = Ledger()
        keys = mock.Mock(keys=mock.MagicMock())
        loop = asyncio.get_running_loop()
        world = SimpleNamespace(ledger=ledger, configuration=keys, loop=loop)
        trouble = SendTogether(world, random.Random(1), 0.0)  # type: ignore[arg-type]
        attempts = [Attempt(f"t{n}", RATES, "vm1", loop.time(), behind=n > 0) for n in range(3)]
        connection = await CallerConnection.open(f"127.0.0.1:{port}")
        try:
            await trouble._send(connection, attempts)
            goes_on = await trouble._receive(connection, attempts)
        finally:
            for writer in (connection.writer, *writers):
                writer.transport.abort()
        return [a.end for a in attempts], {b.rule for b in ledger.broken}, goes_on

    async def test_answers_in_order_break_nothing(self) -> None:
        answers = b"".join(map(_answer, range(3)))
        ended = await self._ask(answers, then_ends=False)
        self.assertEqual(ended, ([End.ANSWERED] * 3, set(), True))

    async def test_answers_that_change_places_are_mixed(self) -> None:
        _, broken, _ = await self._ask(_answer(0) + _answer(2) + _answer(1))
        self.assertEqual(broken, {"MIXED"})

    async def test_an_answer_too_many_and_bytes_that_are_none_are_mixed(self) -> None:
        whole = b"".join(map(_answer, range(3)))
        for surplus in (_answer(2), b"\x00\x01 no answer\r\n\r\n"):
            _, broken, _ = await self._ask(whole + surplus)
            self.assertEqual(broken, {"MIXED"}, surplus)

    async def test_an_answer_cut_short_is_none(self) -> None:
        ends, broken, goes_on = await self._ask(_answer(0) + _answer(1)[:-2])
        self.assertEqual(ends, [End.ANSWERED, End.CLOSED, End.CLOSED])
        self.assertEqual((broken, goes_on), (set(), False))

    async def test_requests_behind_an_answer_that_closes_are_unread(self) -> None:
        ended = await self._ask(_answer(0, extra="Connection: close\r\n"))
        self.assertEqual(ended, ([End.ANSWERED, End.UNREAD, End.UNREAD], set(), False))

    async def test_an_answer_behind_one_that_closes_is_mixed(self) -> None:
        closing = _answer(0, extra="Connection: close\r\n")
        _, broken, _ = await self._ask(closing + _answer(1))
        self.assertEqual(broken, {"MIXED"})


class PromisesAreJudged(unittest.TestCase):
    def test_a_stop_that_cuts_off_what_was_sent_behind_another_request(self) -> None:
        for end, ran_at, expected in (
            (End.UNREAD, "", set()),
            (End.CLOSED, "", set()),
            (End.UNREAD, "i-1", {"LOST"}),
            (End.CLOSED, "i-1", {"LOST"}),
        ):
            day = Judged()
            day.ledger.signalled["vm1"].append((99.5, int(signal.SIGTERM)))
            day.ledger.ends["vm1"].append((101.0, 0))
            for number in range(9):
                day.attempt(f"p{number}", sent_at=90.0)
            day.attempt(end=end, status=0, took_s=0.9, ran_at=ran_at).behind = True
            self.assertEqual(day.rules(), expected, (end, ran_at))

    def test_connections_closed_in_calm(self) -> None:
        for count, span, expected in (
            (3, None, set()),
            (4, None, {"LOST"}),
            (4, TroubleSpan("Kill", "vm1", 99.0, 101.0), set()),
        ):
            day = Judged()
            if span:
                day.ledger.troubles.append(span)
            for number in range(30):
                day.attempt(f"p{number}", sent_at=90.0)
            for number in range(count):
                day.attempt(f"q{number}", end=End.CLOSED, status=0)
            self.assertEqual(day.rules(), expected, count)

    def test_downloads_whose_answer_was_lost(self) -> None:
        for failed, came_back, expected in ((1, 0, set()), (2, 0, {"DOWNLOAD"}), (2, 6, set())):
            day = Judged()
            for version in day.ledger.versions:
                version.services[DOWNLOADS] = "rates"
            for number in range(9):
                day.attempt(f"p{number}")
            for number in range(failed + came_back):
                status = 502 if number < failed else 200
                attempt = day.attempt(f"q{number}", route=DOWNLOADS, status=status)
                day.servers["i-1"].stand_in.spoilt[attempt.request_id] = Spoil.LOST
                if status == 200:
                    day.run(attempt.request_id, "i-2", 100.05)
            day.servers["i-2"].service = "rates"
            self.assertEqual(day.rules(), expected, (failed, came_back))

    def test_memory_of_a_vm_whose_callers_do_not_read(self) -> None:
        for most_mb, expected in ((135.0, set()), (141.0, {"MEMORY"})):
            day = Judged()
            day.attempt()
            day.ledger.memory.append(MemoryUse("vm1", 40.0, most_mb))
            self.assertEqual(day.rules(), expected)


class StatedLoads(unittest.TestCase):
    def test_work_follows_the_pace_and_some_loads_are_unreadable(self) -> None:
        stated = run_virtual(self._stated_loads)
        readable = [text for text in stated if text.startswith("1,0,8,")]
        self.assertGreater(len(readable), len(stated) / 2)
        self.assertLess(len(readable), len(stated))
        self.assertGreater(len(set(readable)), 5)

    async def _stated_loads(self, loop: VirtualLoop) -> list[str]:
        backends = BackendServers(mock.Mock(), mock.Mock(), Ledger())
        stand_in = ScriptedServer(loop, "i-1", work_s=0.1, slots=8)
        stand_in.running = 1
        backends.running["i-1"] = mock.Mock(stand_in=stand_in)
        world = SimpleNamespace(loop=loop, backends=backends, ledger=Ledger())
        trouble = StateLoad(world, random.Random(3), 5.0)  # type: ignore[arg-type]
        task = asyncio.create_task(trouble.carry_out())
        stated = []
        await asyncio.sleep(0.1)
        while not task.done():
            self.assertAlmostEqual(stand_in.work_now_s(), stand_in.pace_percent / 1000)
            stated.append(_stated(stand_in))
            await asyncio.sleep(0.5)
        self.assertEqual((stand_in.pace_percent, _stated(stand_in)), (100.0, "1,0,8,100"))
        return stated


def _stated(stand_in: ScriptedServer) -> str:
    """Return the load that a server states in an answer."""
    connection, transport = stand_in.accept(), mock.Mock(spec=asyncio.Transport)
    connection.connection_made(transport)
    connection.data_received(f"GET {HEALTH_PATH} HTTP/1.1\r\n\r\n".encode())
    head = transport.write.call_args.args[0].decode()
    return next(
        line.partition(": ")[2] for line in head.split("\r\n") if line.startswith("X-Server-Load")
    )


class Days(unittest.TestCase):
    def test_only_seeds_from_the_first_on_draw_the_new_kinds(self) -> None:
        new = set(CALLER_KINDS)
        for seed in (0, 11, 99_999, 100_000, 200_000, 300_000, FIRST_SEED_OF_CALLER_KINDS - 1):
            self.assertFalse(new & set(kinds_of(seed)), seed)
        self.assertLessEqual(new, set(kinds_of(FIRST_SEED_OF_CALLER_KINDS)))

    def test_downloads_are_large_and_of_their_route_alone(self) -> None:
        sizes = {
            len(body_of(Run(f"t{n}", "GET", f"/{DOWNLOADS}/{n}", b"", {}, 0.0))) for n in range(99)
        }
        self.assertEqual(sizes, {90_000 * factor for factor in range(1, 7)})
        store = mock.Mock()
        configuration = Configuration(store, Ledger())
        configuration.services[DOWNLOADS] = "rates"
        types = {path["Name"]: path["RouteType"] for path in _paths(configuration)}
        self.assertEqual(types, {"rates": "safe", "book": "unsafe", DOWNLOADS: "download"})


def _paths(configuration: Configuration) -> list[dict]:
    paths: list[dict] = configuration._table()["Hosts"][0]["Paths"]
    return paths


if __name__ == "__main__":
    unittest.main()
