"""One connection of a listener: what it reads, runs and sends, whatever ends when."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from sprucewinch.net.http_server import ListenerLimits, bind, make_listener
from standins.virtual import pass_time, run_virtual
from tools.ports import free_ports

from .pipelined_app import (
    FAILED,
    End,
    OneConnection,
    ScriptedApp,
    cut,
    get,
    lingers,
    post,
    settle,
    whole,
)
from .test_unread_answers import Memory

Play = Callable[[ScriptedApp], Coroutine[Any, Any, None]]


def play(main: Play) -> None:
    """Run a test on a virtual loop."""
    run_virtual(lambda _loop: main(ScriptedApp()))


class Order(unittest.TestCase):
    def test_a_later_answer_that_is_ready_waits_for_those_ahead(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            one.receive(get("/a"), get("/b"), get("/c"))
            await settle()
            self.assertEqual(app.started, ["/a", "/b", "/c"])
            app.end("/c")
            app.end("/b")
            await settle()
            self.assertEqual(one.written, b"")
            app.end("/a")
            await settle()
            self.assertEqual(one.written, whole("/a") + whole("/b") + whole("/c"))

        play(main)

    def test_further_requests_are_neither_run_nor_read_beyond_the_bound(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app, max_at_once=2)
            paths = [f"/{number}" for number in range(1000)]
            one.receive(*(get(path) for path in paths))
            await settle()
            self.assertEqual((app.started, one.transport.reads), (["/0", "/1"], False))
            self.assertLess(len(one.protocol.order), 150)
            for path in paths:
                app.end(path)
            for _ in range(100):
                await settle()
            self.assertEqual(one.written, b"".join(whole(path) for path in paths))
            self.assertTrue(one.transport.reads)

        play(main)

    def test_one_request_at_a_time_unless_the_listener_says_otherwise(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app, max_at_once=1)
            one.receive(get("/a"), get("/b"))
            await settle()
            self.assertEqual(app.started, ["/a"])
            app.end("/a")
            await settle()
            self.assertEqual(app.started, ["/a", "/b"])

        play(main)

    def test_the_time_of_arrival_counts_also_before_a_request_begins(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app, max_at_once=1)
            one.receive(get("/a"), get("/b"))
            await pass_time(0.7)
            app.end("/a")
            await settle()
            self.assertAlmostEqual(app.waited["/b"], 0.7, delta=0.01)

        play(main)

    def test_a_body_at_the_bound_is_read_to_its_end(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app, max_at_once=1)
            body = b"x" * 300_000
            request = post("/a", body)
            for start in range(0, len(request), 60_000):
                one.receive(request[start : start + 60_000])
                await settle()
            app.end("/a")
            await settle()
            self.assertEqual(len(app.bodies["/a"]), len(body))
            self.assertEqual(one.written, whole("/a"))

        play(main)

    def test_a_body_that_nobody_reads_is_not_read_either(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            one.receive(get("/a"), post("/once/b", b"x" * 300_000)[:100_000])
            await settle()
            self.assertFalse(one.transport.reads)
            app.end("/a")
            await settle()
            self.assertTrue(one.transport.reads)

        play(main)

    def test_requests_beyond_the_listeners_limit_are_refused_in_their_order(self) -> None:
        async def main(app: ScriptedApp) -> None:
            limits = ListenerLimits(1000, connections=9, requests=2)
            one = OneConnection(app, limits=limits)
            one.receive(get("/a"), get("/b"), get("/c"), get("/d"))
            await settle()
            app.end("/b")
            await settle()
            self.assertEqual(one.written, b"")
            app.end("/a")
            await settle()
            answered = whole("/a") + whole("/b") + b"HTTP/1.1 503 "
            self.assertTrue(one.written.startswith(answered), one.written)
            self.assertEqual(one.written.count(b"HTTP/1.1"), 3)
            self.assertTrue(await lingers(one))
            self.assertEqual(app.started, ["/a", "/b"])

        play(main)


class MustNotRunTwice(unittest.TestCase):
    def test_one_runs_only_once_all_ahead_are_settled(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            one.receive(get("/a"), get("/b"), get("/once/c"), get("/d"))
            await settle()
            app.end("/b")
            await settle()
            self.assertEqual(app.ran, ["/a", "/b", "/d"])
            app.end("/a")
            await settle()
            self.assertEqual(app.ran, ["/a", "/b", "/d", "/once/c"])

        play(main)

    def test_one_behind_an_answer_that_closes_never_runs(self) -> None:
        for end in (End.CLOSES, End.RAISES, End.CUTS):
            with self.subTest(end=end):
                play(lambda app, end=end: self._closed_before(app, end))

    async def _closed_before(self, app: ScriptedApp, end: End) -> None:
        one = OneConnection(app)
        one.receive(get("/a"), get("/once/b"), get("/c"))
        await settle()
        app.end("/a", end)
        await settle()
        self.assertTrue(one.transport.closing)
        self.assertEqual(app.ran, ["/a", "/c"])
        self.assertCountEqual(app.left, ["/once/b", "/c"])
        self.assertEqual(app.turns, {"/once/b": False})

    def test_a_closing_answer_ends_those_behind_even_if_it_stays_unread(self) -> None:
        for end in (End.CLOSES, End.CUTS):
            with self.subTest(end=end):
                play(lambda app, end=end: self._unread(app, end))

    async def _unread(self, app: ScriptedApp, end: End) -> None:
        one = OneConnection(app)
        one.transport.close = lambda: setattr(one.transport, "closing", True)
        one.receive(get("/a"), get("/b"), get("/once/c"))
        await settle()
        app.end("/a", end)
        await settle()
        self.assertCountEqual(app.left, ["/b", "/once/c"])


class Leaves(unittest.TestCase):
    def test_a_reset_ends_all_requests(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app, max_at_once=3)
            one.receive(get("/a"), get("/b"), get("/once/c"), get("/d"))
            await settle()
            one.leave()
            await settle()
            self.assertCountEqual(app.left, ["/a", "/b", "/once/c"])
            self.assertEqual((app.started, one.written), (["/a", "/b", "/once/c"], b""))
            self.assertFalse(one.state.tasks)

        play(main)

    def test_an_end_of_what_the_caller_sends_ends_all_requests(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            one.receive(get("/a"), get("/b"))
            await settle()
            one.protocol.eof_received()
            await settle()
            self.assertCountEqual(app.left, ["/a", "/b"])

        play(main)

    def test_an_answer_that_is_ready_when_the_caller_leaves_is_not_sent(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            one.receive(get("/a"), get("/b"))
            await settle()
            app.end("/b")
            await settle()
            one.leave()
            await settle()
            self.assertEqual((one.written, app.left), (b"", ["/a"]))
            self.assertFalse(one.state.tasks)

        play(main)


class EndOfTheLoop(unittest.TestCase):
    def test_requests_that_are_cancelled_end_also_if_the_caller_reads_nothing(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            one.transport.stalled = True
            one.receive(get("/" + "a" * 15_000), get("/b"), get("/c"), get("/once/d"))
            one.transport.HIGH_BYTES = 1000
            app.end("/" + "a" * 15_000)
            app.end("/b")
            await settle()
            self.assertEqual(len(one.state.tasks), 3)
            for task in list(one.state.tasks):
                task.cancel()
            await settle()
            self.assertFalse(one.state.tasks)
            self.assertTrue(one.transport.closing)

        play(main)


class Stops(unittest.TestCase):
    def test_a_stop_closes_after_the_last_that_has_begun(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app, max_at_once=2)
            one.receive(get("/a"), get("/b"), get("/c"))
            await settle()
            one.protocol.shutdown()
            one.receive(get("/d"))
            app.end("/b")
            app.end("/a")
            await settle()
            self.assertEqual(one.written, whole("/a") + whole("/b", closes=True))
            self.assertTrue(one.transport.closing)
            self.assertEqual(app.started, ["/a", "/b"])

        play(main)

    def test_a_stop_by_the_application_does_the_same(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app, max_at_once=2)
            one.receive(get("/a"), get("/b"), get("/c"))
            app.on_run = lambda path, turn: path == "/b" and turn.read_no_more()
            await settle()
            app.end("/b")
            app.end("/a")
            await settle()
            self.assertEqual(one.written, whole("/a") + whole("/b", closes=True))

        play(main)

    def test_a_body_that_arrives_during_a_stop_is_read_to_its_end(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            request = post("/a", b"x" * 5000)
            one.receive(request[:3000])
            await settle()
            one.protocol.shutdown()
            one.receive(request[3000:], get("/b"))
            await settle()
            app.end("/a")
            await settle()
            self.assertEqual(one.written, whole("/a", closes=True))
            self.assertEqual((app.started, len(app.bodies["/a"])), (["/a"], 5000))

        play(main)

    def test_headers_that_are_complete_only_after_a_stop_are_not_read(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            late = get("/b")
            one.receive(get("/a"), late[:9])
            await settle()
            one.protocol.shutdown()
            one.receive(late[9:])
            await settle()
            app.end("/a")
            await settle()
            self.assertEqual((app.started, one.written), (["/a"], whole("/a", closes=True)))

        play(main)

    def test_an_idle_connection_is_closed_at_once(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            one.receive(get("/a"))
            app.end("/a")
            await settle()
            self.assertFalse(one.transport.closing)
            one.protocol.shutdown()
            self.assertTrue(one.transport.closing)

        play(main)


class Forms(unittest.TestCase):
    def test_bytes_that_are_no_request_are_refused_after_the_good_ones(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            one.receive(get("/a"), get("/b"), b"no request\r\n\r\n", get("/c"))
            await settle()
            app.end("/b")
            await settle()
            self.assertEqual(one.written, b"")
            app.end("/a")
            await settle()
            good = whole("/a") + whole("/b") + b"HTTP/1.1 400 Bad Request\r\n"
            self.assertTrue(one.written.startswith(good), one.written)
            self.assertTrue(one.written.endswith(b"\r\n\r\nInvalid HTTP request received."))
            self.assertTrue(await lingers(one))
            self.assertEqual(app.started, ["/a", "/b"])

        play(main)

    def test_a_body_that_is_none_is_refused_in_the_place_of_its_request(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            broken = get("/b", "transfer-encoding: chunked\r\n", method="POST") + b"zz\r\n"
            one.receive(get("/a"), broken)
            await settle()
            self.assertEqual(app.left, ["/b"])
            app.end("/a")
            await settle()
            self.assertTrue(one.written.startswith(whole("/a") + b"HTTP/1.1 400 "), one.written)
            self.assertTrue(await lingers(one))

        play(main)

    def test_a_request_that_closes_the_connection_is_the_last(self) -> None:
        for last in (
            get("/b", "connection: close\r\n"),
            get("/b", version="1.0"),
            get("/b", "connection: keep-alive\r\n", version="1.0"),
        ):
            with self.subTest(last=last):
                play(lambda app, last=last: self._last(app, last))

    async def _last(self, app: ScriptedApp, last: bytes) -> None:
        one = OneConnection(app)
        one.receive(get("/a"), last, get("/c"))
        await settle()
        app.end("/b")
        app.end("/a")
        await settle()
        self.assertEqual(one.written, whole("/a") + whole("/b", closes=True))
        self.assertEqual(app.started, ["/a", "/b"])
        self.assertTrue(one.transport.closing)

    def test_an_answer_to_head_has_no_body(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            one.receive(get("/a", method="HEAD"), get("/b"))
            app.end("/a")
            app.end("/b")
            await settle()
            self.assertEqual(one.written, whole("/a")[:-2] + whole("/b"))

        play(main)

    def test_a_request_that_expects_continue_gets_it_in_its_turn(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            expects = get("/b", "expect: 100-continue\r\ncontent-length: 1\r\n", method="POST")
            one.receive(get("/a"), expects)
            await settle()
            self.assertEqual(one.written, b"")
            app.end("/a")
            await settle()
            interim = whole("/a") + b"HTTP/1.1 100 Continue\r\n\r\n"
            self.assertEqual(one.written, interim)
            one.receive(b"x")
            app.end("/b")
            await settle()
            self.assertEqual(one.written, interim + whole("/b"))

        play(main)

    def test_an_upgrade_is_ignored_and_what_follows_is_answered(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            one.receive(get("/a", "connection: upgrade\r\nupgrade: x\r\n"), get("/b"))
            app.end("/a")
            app.end("/b")
            await settle()
            self.assertEqual(one.written, whole("/a") + whole("/b"))

        play(main)

    def test_headers_that_wait_behind_others_do_not_time_out(self) -> None:
        async def main(app: ScriptedApp) -> None:
            limits = ListenerLimits(1000, connections=9, requests=99, header_s=1.0)
            one = OneConnection(app, max_at_once=1, limits=limits)
            paths = [f"/{number}" for number in range(200)]
            one.receive(*(get(path) for path in paths))
            await pass_time(3.0)
            for path in paths:
                app.end(path)
            for _ in range(30):
                await settle()
            self.assertEqual(one.written, b"".join(whole(path) for path in paths))

        play(main)

    def test_late_headers_are_refused_after_the_answers_ahead(self) -> None:
        async def main(app: ScriptedApp) -> None:
            limits = ListenerLimits(1000, connections=9, requests=99, header_s=1.0)
            one = OneConnection(app, limits=limits)
            one.receive(get("/a"), b"GET /b HTTP/1.1\r\n")
            await pass_time(2.0)
            self.assertEqual(one.written, b"")
            app.end("/a")
            await settle()
            self.assertTrue(one.written.startswith(whole("/a") + b"HTTP/1.1 408 "), one.written)

        play(main)

    def test_an_idle_connection_is_closed_and_a_busy_one_is_not(self) -> None:
        async def main(app: ScriptedApp) -> None:
            one = OneConnection(app)
            one.receive(get("/a"), get("/b"))
            app.end("/a")
            await pass_time(40.0)
            self.assertFalse(one.transport.closing)
            app.end("/b")
            await pass_time(29.0)
            self.assertFalse(one.transport.closing)
            await pass_time(2.0)
            self.assertTrue(one.transport.closing)

        play(main)


class Property(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(st.data())
    def test_what_is_sent_is_the_whole_answers_in_order_up_to_the_first_that_closes(
        self, data: st.DataObject
    ) -> None:
        play(lambda app: self._any_play(app, data))

    async def _any_play(self, app: ScriptedApp, data: st.DataObject) -> None:
        count = data.draw(st.integers(1, 7), label="requests")
        at_once = data.draw(st.integers(1, 8), label="at once")
        kinds = data.draw(st.lists(st.sampled_from(("", "/once")), min_size=count, max_size=count))
        paths = [f"{kind}/{number}" for number, kind in enumerate(kinds)]
        whole_or_not = st.sampled_from((End.WHOLE, End.WHOLE, End.WHOLE, *End))
        ends = {path: data.draw(whole_or_not, label=path) for path in paths}
        ended_order = data.draw(st.permutations(paths), label="order of the ends")
        leaves_after = data.draw(st.none() | st.integers(0, count), label="leaves after")
        one = OneConnection(app, max_at_once=at_once)
        app.on_run = lambda path, _turn: self._settled_before(path, paths, one)
        sent = b"".join(get(path) for path in paths)
        split = data.draw(st.integers(0, len(sent)), label="split")
        one.receive(sent[:split])
        await settle()
        one.receive(sent[split:])
        await settle()
        ended: list[str] = []
        for path in ended_order[:leaves_after]:
            app.end(path, ends[path])
            ended.append(path)
            if data.draw(st.booleans(), label="settles"):
                await settle()
        await settle()
        expected = self._oracle(paths, ends, ended)
        self.assertEqual(one.written, expected)
        one.leave()
        await settle()
        self.assertEqual(one.written, expected)
        self.assertFalse(one.state.tasks)

    def _settled_before(self, path: str, paths: list[str], one: OneConnection) -> None:
        if path.startswith("/once"):
            ahead = b"".join(whole(other) for other in paths[: paths.index(path)])
            self.assertEqual(one.written, ahead)

    def _oracle(self, paths: list[str], ends: dict[str, End], ended: list[str]) -> bytes:
        """Return what a listener sends that takes one request after the other."""
        sent = b""
        for path in paths:
            if path not in ended:
                return sent
            if ends[path] is not End.WHOLE:
                last = {
                    End.CLOSES: whole(path, closes=True),
                    End.RAISES: FAILED,
                    End.CUTS: cut(path),
                }
                return sent + last[ends[path]]
            sent += whole(path)
        return sent

    @settings(max_examples=150, deadline=None)
    @given(st.data())
    def test_whatever_the_caller_reads_when_it_gets_all_answers_in_order(
        self, data: st.DataObject
    ) -> None:
        play(lambda app: self._any_reading(app, data))

    async def _any_reading(self, app: ScriptedApp, data: st.DataObject) -> None:
        count = data.draw(st.integers(1, 12), label="requests")
        at_once = data.draw(st.integers(1, 4), label="at once")
        paths = [f"/{number}" for number in range(count)]
        one = OneConnection(app, max_at_once=at_once, memory=Memory())
        one.transport.stalled = True
        sent = b"".join(get(path) for path in paths)
        split = data.draw(st.integers(0, len(sent)), label="split")
        one.receive(sent[:split])
        for path in data.draw(st.permutations(paths), label="order of the ends"):
            app.end(path)
            await settle()
            one.transport.read(data.draw(st.integers(0, 120), label="read"))
            await pass_time(data.draw(st.sampled_from((0.0, 0.3)), label="time"))
        one.receive(sent[split:])
        one.transport.stalled = False
        for _ in range(3 * count):
            one.transport.read()
            await pass_time(0.3)
        self.assertEqual(one.written, b"".join(whole(path) for path in paths))
        self.assertTrue(one.transport.reads)
        self.assertEqual(one.protocol.memory.held, 0)

    @settings(max_examples=150, deadline=None)
    @given(st.data())
    def test_a_stop_at_any_moment_cuts_nothing_that_has_begun(self, data: st.DataObject) -> None:
        play(lambda app: self._any_stop(app, data))

    async def _any_stop(self, app: ScriptedApp, data: st.DataObject) -> None:
        count = data.draw(st.integers(1, 7), label="requests")
        at_once = data.draw(st.integers(1, 8), label="at once")
        paths = [f"/{number}" for number in range(count)]
        ended_order = data.draw(st.permutations(paths), label="order of the ends")
        stops_after = data.draw(st.integers(0, count), label="stops after")
        one = OneConnection(app, max_at_once=at_once)
        one.receive(*(get(path) for path in paths))
        await settle()
        for path in ended_order[:stops_after]:
            app.end(path)
            await settle()
        begun = list(app.started)
        answered = one.written.count(b"HTTP/1.1")
        one.protocol.shutdown()
        await settle()
        for path in ended_order[stops_after:]:
            app.end(path)
            await settle()
        self.assertEqual(app.started, begun)
        bodies = [whole(path) for path in begun]
        if answered < len(begun):
            bodies[-1] = whole(begun[-1], closes=True)
        self.assertEqual(one.written, b"".join(bodies))
        self.assertTrue(one.transport.closing)


class RealSockets(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.app = ScriptedApp()
        [self.port] = free_ports(1)
        limits = ListenerLimits(16_384, connections=100, requests=1000)
        self.server = make_listener(self.app, limits, max_at_once=2)
        serving = asyncio.create_task(
            self.server.serve(sockets=[bind("caller_address", f"127.0.0.1:{self.port}")])
        )

        async def stop() -> None:
            self.server.should_exit = True
            for connection in list(self.server.server_state.connections):
                connection.transport.abort()
            await serving

        self.addAsyncCleanup(stop)
        while not self.server.started:
            await asyncio.sleep(0.01)

    async def _until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_a_caller_that_leaves_while_reading_is_paused_ends_its_requests(self) -> None:
        for leave in ("close", "abort"):
            with self.subTest(leave=leave):
                self.app.left.clear()
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"".join(get(f"/{number}") for number in range(200)))
                await self._until(lambda: len(self.app.started) == 2)
                [connection] = self.server.server_state.connections
                self.assertTrue(connection.flow.read_paused)
                writer.close() if leave == "close" else writer.transport.abort()
                began = asyncio.get_running_loop().time()
                await self._until(lambda: len(self.app.left) == 2)
                self.assertLess(asyncio.get_running_loop().time() - began, 0.5)
                await self._until(lambda: not self.server.server_state.connections)
                self.app.started.clear()

    async def test_the_end_of_the_listener_cuts_nothing_that_has_begun(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(get("/a") + get("/b") + get("/c"))
        await self._until(lambda: len(self.app.started) == 2)
        self.server.should_exit = True
        [connection] = self.server.server_state.connections
        await self._until(lambda: connection.closing)
        self.app.end("/b")
        self.app.end("/a")
        async with asyncio.timeout(10):
            self.assertEqual(await reader.read(), whole("/a") + whole("/b", closes=True))
        writer.close()

    async def test_a_thousand_requests_are_answered_in_order(self) -> None:
        paths = [f"/{number}" for number in range(1000)]
        for path in paths:
            self.app.end(path)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"".join(get(path) for path in paths))
        expected = b"".join(whole(path) for path in paths)
        async with asyncio.timeout(20):
            self.assertEqual(await reader.readexactly(len(expected)), expected)
        writer.close()


if __name__ == "__main__":
    unittest.main()
