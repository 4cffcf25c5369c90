"""Placement of requests among the candidate servers of their objects, with stated estimates."""

import unittest
from collections import Counter
from typing import Any

from sprucewinch.gateway.requests.choice.region_moves import RegionMoves
from sprucewinch.gateway.requests.choice.server_order import Ranking
from sprucewinch.gateway.requests.choice.server_selection import ServerSelector
from sprucewinch.gateway.requests.client_request import (
    Attempt,
    BlockedReason,
    ClientRequest,
    RefusalReason,
    Selection,
    SelectionReason,
    Verdict,
)
from sprucewinch.gateway.resources import BackendEntry
from sprucewinch.gateway.servers.backend_server import BackendServer
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .estimate_fakes import USUAL_WORK_S, StatedEstimates, estimate
from .gateway_fakes import PipelineFixture, route
from .test_gateway_decision_log import Lines

ROUTE = route(latency_target_s=0.8, timeout_s=2.0)
_QUEUE = {"held": 20.0}
"""Too much for a target of 0.8 s."""


class Placed:
    """A VM whose estimates the test states, in the order of one object's ranking."""

    def __init__(
        self, loop: VirtualLoop, *, servers: int = 6, halls: tuple[str, ...] = ("east-a",)
    ) -> None:
        self.path = PipelineFixture(loop, servers=servers, halls=halls)
        self.path.world.configure(ROUTE)
        self.loop = loop
        self.estimates = StatedEstimates()
        self.moves = RegionMoves(self.path.shares, 0.15, "vm0")
        self.path.choice.selector = self.selector = ServerSelector(
            self.path.world.registry,
            self.path.outliers,
            estimates=self.estimates,
            moves=self.moves,
        )

    def ranking(self, key: str = "lane-1") -> Ranking:
        return self.path.ranker.rank("rates", key, (), self.loop.time())

    def state(self, server: BackendServer, **changes: Any) -> None:
        """State the estimate of a server."""
        of = server.backend
        self.estimates.by_id[of.id] = estimate(server_id=of.id, slots=of.capacity, **changes)

    def choose(self, *attempts: Attempt, key: str = "lane-1") -> tuple[int, Any]:
        """Return the index of the chosen server in the ranking and the reason; -1 for none."""
        request = self.path.request("q", key=key)
        request.attempts.extend(attempts)
        return self.choose_for(request)

    def choose_for(self, request: ClientRequest) -> tuple[int, Any]:
        now, ranking = self.loop.time(), self.ranking(request.key)
        chosen = self.selector.choose(request, ranking, "rates", now, ROUTE)
        if isinstance(chosen, Selection):
            return ranking.servers.index(chosen.server), chosen.reason
        return -1, (request.blocked.reason if chosen is RefusalReason.NO_ROOM else chosen)


class Candidates(unittest.TestCase):
    def test_a_late_server_gives_its_object_to_the_next_one(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop)
            first, second, *_ = placed.ranking().servers
            self.assertEqual(placed.choose(), (0, SelectionReason.FIRST_CHOICE))
            placed.state(first, **_QUEUE)
            self.assertEqual(placed.choose(), (1, SelectionReason.SOONER))
            placed.state(second, **_QUEUE)
            self.assertEqual(placed.choose(), (2, SelectionReason.SOONER))

        run_virtual(main)

    def test_a_slow_server_gives_its_object_to_the_next_one(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop)
            first, second, *_ = placed.ranking().servers
            placed.state(first, pace=5.0)
            self.assertEqual(placed.choose(), (1, SelectionReason.SOONER))
            placed.state(second, pace=5.0)
            self.assertEqual(placed.choose(), (2, SelectionReason.SOONER))

        run_virtual(main)

    def test_a_cold_server_takes_no_object_that_ranks_another_one_first(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop)
            servers = placed.ranking().servers
            placed.state(servers[0], **_QUEUE)
            servers[1].cold_until = loop.time() + 5.0
            self.assertEqual(placed.choose(), (2, SelectionReason.SOONER))

        run_virtual(main)

    def test_an_object_stays_with_its_first_three_servers(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop)
            for server in placed.ranking().servers[:3]:
                placed.state(server, **_QUEUE)
            self.assertEqual(placed.choose(), (0, SelectionReason.FIRST_CHOICE))

        run_virtual(main)

    def test_servers_that_are_not_usable_are_no_candidates(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop)
            servers = placed.ranking().servers
            placed.state(servers[0], **_QUEUE)
            servers[1].pause(loop.time() + 5.0)
            self.assertEqual(placed.choose(), (2, SelectionReason.SOONER))
            servers[0].pause(loop.time() + 5.0)
            self.assertEqual(placed.choose(), (2, SelectionReason.FIRST_USABLE))

        run_virtual(main)

    def test_a_server_without_room_is_no_candidate(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop)
            servers = placed.ranking().servers
            placed.state(servers[0], **_QUEUE)
            servers[1].in_flight = 6
            self.assertEqual(placed.choose(), (2, SelectionReason.SOONER))
            for server in servers:
                server.in_flight = 6
            self.assertEqual(placed.choose(), (-1, BlockedReason.CONCURRENCY_LIMIT))

        run_virtual(main)

    def test_after_a_refusal_the_next_candidate_is_chosen_by_expected_time(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop)
            servers = placed.ranking().servers
            refused = Attempt(servers[0].backend.id, Verdict.NOT_RUN, True, "shed-503")
            self.assertEqual(placed.choose(refused), (1, SelectionReason.FIRST_USABLE))
            placed.state(servers[1], **_QUEUE)
            self.assertEqual(placed.choose(refused), (2, SelectionReason.SOONER))
            again = Attempt(servers[2].backend.id, Verdict.NOT_RUN, True, "shed-503")
            self.assertEqual(placed.choose(refused, again), (3, SelectionReason.SOONER))

        run_virtual(main)

    def test_the_time_that_a_request_has_waited_counts(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop)
            placed.state(placed.ranking().servers[0], held=8.0)
            request = placed.path.request("q", arrived_at=loop.time() - 0.4)
            self.assertEqual(placed.choose()[0], 0)
            self.assertEqual(placed.choose_for(request)[0], 1)

        run_virtual(main)


class AsBefore(unittest.TestCase):
    def test_servers_that_report_nothing_are_selected_by_load(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop, servers=2)
            servers = placed.ranking().servers
            for server in servers:
                placed.state(server, age_s=float("inf"))
            servers[0].record_load(9, 0, loop.time())
            self.assertEqual(placed.choose(), (1, SelectionReason.SHARES_BUSY))
            servers[0].record_load(12, 0, loop.time())
            self.assertEqual(placed.choose(), (1, SelectionReason.HELPS_FULL))

        run_virtual(main)

    def test_one_report_is_enough_to_place_by_time(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop, servers=2)
            servers = placed.ranking().servers
            placed.state(servers[0], age_s=float("inf"))
            servers[0].record_load(9, 0, loop.time())
            self.assertEqual(placed.choose(), (0, SelectionReason.FIRST_CHOICE))

        run_virtual(main)


class Regions(unittest.TestCase):
    HALLS = ("east-a", "west-a")

    def _full_region(self, placed: Placed, key: str) -> None:
        ranking = placed.ranking(key)
        for server in ranking.servers[: ranking.local_count]:
            placed.state(server, **_QUEUE)

    async def _moved(self, placed: Placed, requests: int) -> Counter[tuple[int, Any]]:
        """Return where requests about one object go that arrive 10 ms apart."""
        chosen: Counter[tuple[int, Any]] = Counter()
        for _ in range(requests):
            chosen[placed.choose()] += 1
            await pass_time(0.01)
        return chosen

    def test_the_first_server_of_another_region_helps_within_the_cap(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop, servers=8, halls=self.HALLS)
            remote = (placed.ranking().local_count, SelectionReason.SOONER)
            stays = (0, SelectionReason.FIRST_CHOICE)
            self.assertEqual(await self._moved(placed, 100), {stays: 100})
            self._full_region(placed, "lane-1")
            in_2_s, in_4_s = [(await self._moved(placed, 200))[remote] for _ in range(2)]
            limit = 200 * 0.4 * 0.15
            self.assertTrue(limit / 3 <= in_2_s <= limit, in_2_s)
            self.assertTrue(limit - 2 <= in_4_s - in_2_s <= limit + 2, in_4_s)

        run_virtual(main)

    def test_requests_return_to_their_region_slowly(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop, servers=8, halls=self.HALLS)
            remote = (placed.ranking().local_count, SelectionReason.SOONER)
            self._full_region(placed, "lane-1")
            await self._moved(placed, 800)
            placed.estimates.by_id.clear()
            moved = [(await self._moved(placed, 200))[remote] for _ in range(8)]
            self.assertGreater(moved[0], 200 * 0.15)
            for before, after in zip(moved, moved[1:], strict=False):
                self.assertLessEqual(before - after, 200 * 0.4 * 0.15 + 3)
            self.assertEqual(moved[-1], 0)

        run_virtual(main)

    def test_a_region_without_usable_servers_is_left_without_a_limit(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop, servers=8, halls=self.HALLS)
            ranking, remote = placed.ranking(), placed.ranking().local_count
            for server in ranking.servers[:remote]:
                server.pause(loop.time() + 60.0)
            usable = (remote, SelectionReason.FIRST_USABLE)
            self.assertEqual(await self._moved(placed, 300), {usable: 300})
            placed.state(ranking.servers[remote], **_QUEUE)
            sooner = (remote + 1, SelectionReason.SOONER)
            self.assertEqual(await self._moved(placed, 300), {sooner: 300})
            for server in ranking.servers[:remote]:
                server.backoff.until = loop.time()
            stays = (0, SelectionReason.FIRST_CHOICE)
            self.assertEqual(await self._moved(placed, 300), {stays: 300})
            placed.estimates.by_id.clear()
            self._full_region(placed, "lane-1")
            sooner = (remote, SelectionReason.SOONER)
            self.assertGreater((await self._moved(placed, 400))[sooner], 10)

        run_virtual(main)

    def test_an_own_warm_server_that_answers_in_target_goes_before_another_region(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop, servers=8, halls=self.HALLS)
            self._full_region(placed, "lane-1")
            await self._moved(placed, 800)
            self.assertTrue(placed.moves.may_move("rates"))
            local, remote = 1, placed.ranking().local_count
            placed.state(placed.ranking().servers[local], held=11.0)
            self.assertEqual(placed.choose(), (local, SelectionReason.SOONER))
            work_s = 3 * USUAL_WORK_S
            placed.state(placed.ranking().servers[local], work_s=work_s, warm=False)
            self.assertEqual(placed.choose(), (remote, SelectionReason.SOONER))

        run_virtual(main)

    def test_the_first_server_of_a_region_is_expected_to_keep_the_object_warm(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop, servers=8, halls=self.HALLS)
            for server in placed.ranking().servers:
                placed.state(server, work_s=3 * USUAL_WORK_S, warm=False)
            self._full_region(placed, "lane-1")
            remote = (placed.ranking().local_count, SelectionReason.SOONER)
            self.assertGreater((await self._moved(placed, 400))[remote], 10)
            placed.ranking().servers[remote[0]].pause(loop.time() + 60.0)
            self.assertEqual((await self._moved(placed, 400))[0, SelectionReason.FIRST_CHOICE], 400)

        run_virtual(main)


class JoinedServers(unittest.TestCase):
    def _join(self, placed: Placed, *, cold: bool) -> str:
        backend = BackendEntry("new", "rates", "10.0.0.99:80", "east-a", 6)
        placed.path.world.registry.count_new_as_cold()
        placed.path.world.put("servers/new", backend, placed.loop.time())
        server = placed.path.world.registry.servers["new"]
        self.assertTrue(server.cold(placed.loop.time()))
        if not cold:
            server.cold_until = float("-inf")
        work = {"work_s": 3 * USUAL_WORK_S, "warm": False, "age_s": float("inf")}
        placed.state(server, **work)
        return backend.id

    def _first_choices(self, placed: Placed) -> dict[str, str]:
        """Return the id of the chosen server by object, for 300 objects."""
        chosen = {}
        for number in range(300):
            key = f"lane-{number}"
            index, _ = placed.choose(key=key)
            server = placed.ranking(key).servers[index]
            chosen[key] = server.backend.id
        return chosen

    def test_a_server_that_has_joined_gets_the_objects_that_rank_it_first(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop)
            new = self._join(placed, cold=False)
            chosen = self._first_choices(placed)
            ranked = {k for k in chosen if placed.ranking(k).servers[0].backend.id == new}
            self.assertGreater(len(ranked), 20)
            self.assertEqual({k for k, server in chosen.items() if server == new}, ranked)

        run_virtual(main)

    def test_a_cold_server_gets_its_own_objects_only_and_no_more_than_its_allowance(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop)
            new = self._join(placed, cold=True)
            registry = placed.path.world.registry
            for server in registry.servers.values():
                if server.backend.id != new:
                    placed.state(server, **_QUEUE)
            ranked = 0
            for number in range(300):
                key = f"lane-{number}"
                index, _ = placed.choose(key=key)
                server = placed.ranking(key).servers[index]
                if server.backend.id == new:
                    self.assertEqual(index, 0)
                    registry.take(server, loop.time())
                ranked += placed.ranking(key).servers[0].backend.id == new
            taken = registry.servers[new].in_flight
            allowance = registry.cold_limit.allowance(registry.servers[new].backend)
            self.assertEqual(taken, min(6, allowance))
            self.assertGreater(ranked, taken)

        run_virtual(main)

    def test_a_cold_server_after_one_that_pauses_does_not_take_its_objects(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop)
            servers = placed.ranking().servers
            servers[0].pause(loop.time() + 5.0)
            servers[1].cold_until = loop.time() + 5.0
            self.assertEqual(placed.choose()[0], 2)
            for server in servers[2:]:
                server.pause(loop.time() + 5.0)
            self.assertEqual(placed.choose(), (1, SelectionReason.FIRST_USABLE))

        run_virtual(main)


class Shown(unittest.TestCase):
    def test_the_line_of_a_request_names_the_server_that_was_sooner(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            placed = Placed(loop)
            first, second, *_ = placed.ranking().servers
            lines = Lines()
            for held in (0.0, 20.0):
                placed.state(first, held=held)
                request = placed.path.request(f"q{held}")
                reply = await placed.path.pipeline.run(request)
                lines.events.replied(request, reply, 0.06)
            plain, moved = lines.rows
            self.assertNotIn("sooner", plain)
            self.assertEqual(moved["sooner"], [second.backend.id])
            self.assertEqual(moved["sends"][0][0], second.backend.id)
            self.assertEqual(lines.events.counters["sends_to_sooner_servers"], 1)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
