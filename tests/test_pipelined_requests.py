"""What callers get for requests that they send together on one connection to a whole VM."""

import unittest

from standins.virtual import VirtualLoop, pass_time, run_virtual

from .formats_gateway import VirtualGateway
from .pipelined_caller import connect, request


def runs(vm: VirtualGateway) -> list[str]:
    """Return the ids of the requests that backend servers ran, in the order of their starts."""
    started = sorted(
        ((run.at, run.request_id) for server in vm.servers for run in server.runs),
    )
    return [request_id for _, request_id in started]


class Together(unittest.TestCase):
    def test_five_requests_take_the_time_of_the_longest(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=1).started()
            vm.servers[0].work_s = 0.4
            caller = await connect(loop, vm)
            began = loop.time()
            caller.send(*(request(f"q{number}") for number in range(5)))
            await caller.until_answered(5)
            self.assertEqual([answer.status for answer in caller.answers], [200] * 5)
            self.assertLess(loop.time() - began, 0.6)

        run_virtual(main)

    def test_answers_keep_the_order_of_the_requests_whatever_ends_first(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=3).started()
            for number, server in enumerate(vm.servers):
                server.work_s = 0.6 - 0.2 * number
                server.answer_of = lambda run: run.request_id.encode()
            caller = await connect(loop, vm)
            cookies = [f"cookie: X-Affinity-Key={number}\r\n" for number in range(12)]
            caller.send(*(request(f"q{n}", more=cookie) for n, cookie in enumerate(cookies)))
            await caller.until_answered(12)
            bodies = [answer.body for answer in caller.answers]
            self.assertEqual(bodies, [f"q{number}".encode() for number in range(12)])

        run_virtual(main)

    def test_one_that_must_not_run_twice_waits_until_those_ahead_are_answered(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=1).started()
            vm.servers[0].work_s = 0.2
            caller = await connect(loop, vm)
            began = loop.time()
            caller.send(
                request("q0"),
                request("q1", "/book/1", method="POST", body=b"x"),
                request("q2"),
            )
            await caller.until_answered(3)
            self.assertEqual([answer.status for answer in caller.answers], [200] * 3)
            starts = {run.request_id: run.at - began for run in vm.servers[0].runs}
            self.assertLess(starts["q0"], 0.1)
            self.assertLess(starts["q2"], 0.1)
            self.assertGreater(starts["q1"], 0.2)

        run_virtual(main)


class Closes(unittest.TestCase):
    def test_nothing_behind_a_closing_answer_is_answered_or_goes_on(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=1).started()
            server = vm.servers[0]
            server.work_s = 0.7
            caller = await connect(loop, vm)
            caller.send(
                request("q0", "/rates/x", method="POST", body=b"x" * 1001),
                request("q1"),
                request("q2", "/book/1", method="POST", body=b"x"),
            )
            await pass_time(0.3)
            self.assertEqual([answer.status for answer in caller.answers], [413])
            self.assertIsNotNone(caller.closed_at)
            self.assertEqual(server.running, 0)
            await pass_time(2.0)
            self.assertNotIn("q2", runs(vm))

        run_virtual(main)

    def test_a_caller_that_leaves_ends_all_of_its_requests(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=1).started()
            server = vm.servers[0]
            server.work_s = 0.7
            caller = await connect(loop, vm)
            caller.send(*(request(f"q{number}") for number in range(4)))
            await pass_time(0.2)
            self.assertEqual(server.running, 4)
            caller.transport.abort()
            await pass_time(0.1)
            self.assertEqual((server.running, server.cancelled), (0, 4))
            self.assertEqual(vm.gateway.requests.app.in_flight, 0)

        run_virtual(main)


class Stops(unittest.TestCase):
    def test_a_stop_answers_what_has_begun_and_closes_after_the_last_of_it(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=1).started()
            vm.servers[0].work_s = 0.4
            caller = await connect(loop, vm)
            caller.send(*(request(f"q{number}") for number in range(5)))
            await pass_time(0.1)
            vm.gateway.requests.app.stop()
            caller.send(request("late"))
            await pass_time(1.5)
            self.assertEqual([answer.status for answer in caller.answers][:5], [200] * 5)
            closing = [answer.closes for answer in caller.answers]
            self.assertEqual(closing, [False] * (len(closing) - 1) + [True])
            self.assertIsNotNone(caller.closed_at)

        run_virtual(main)

    def test_requests_cut_off_by_the_end_of_a_stop_are_all_answered(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = await VirtualGateway(loop, servers=1).started()
            vm.servers[0].work_s = 5.0
            caller = await connect(loop, vm)
            caller.send(
                request("q0"), request("q1"), request("q2", "/book/1", method="POST", body=b"x")
            )
            await pass_time(0.1)
            vm.gateway.requests.app.stop()
            vm.abort_all()
            await pass_time(0.1)
            self.assertEqual([answer.status for answer in caller.answers], [502, 502, 503])
            self.assertEqual([answer.closes for answer in caller.answers], [False, False, True])
            self.assertNotIn("q2", runs(vm))

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
