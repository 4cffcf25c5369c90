"""Tests of the soak's backend servers: evacuations, restarts under an id, unreadable entries."""

import asyncio
import base64
import json
import unittest
from typing import Any
from unittest import mock

from standins.consortium_store import StoreStandIn
from standins.virtual import VirtualLoop, pass_time, run_virtual
from tools.soak.backend_servers import BackendServers
from tools.soak.ledger import Ledger

_KEY = "op/evacuate/east-a"


class Evacuations(unittest.TestCase):
    def test_the_last_of_two_that_overlap_takes_the_hall_back(self) -> None:
        """The first one's end restored the hall, and the second one's failed and ended the soak.

        Seed 502 showed it.
        """

        async def main(loop: VirtualLoop) -> list[bool]:
            store = StoreStandIn(loop)
            servers = BackendServers(store, mock.Mock(), Ledger())
            first = asyncio.ensure_future(servers.evacuate("east-a", 2.0))
            await pass_time(1.0)
            second = asyncio.ensure_future(servers.evacuate("east-a", 2.0))
            await pass_time(1.5)
            seen = [_KEY in store.items]
            await asyncio.gather(first, second)
            return [*seen, _KEY in store.items]

        self.assertEqual(run_virtual(main), [True, False])


def _servers(store: StoreStandIn) -> BackendServers:
    """Return backend servers without real listeners and relays."""
    wiring = mock.Mock()
    wiring.behind_relay = mock.AsyncMock(return_value=mock.Mock(port=7001))
    wiring.listen = mock.AsyncMock(return_value=7002)
    return BackendServers(store, wiring, Ledger())


def _stored(store: StoreStandIn, key: str) -> Any:
    return json.loads(base64.b64decode(store.items[key]["Value"]))


class KeptIds(unittest.TestCase):
    def test_a_server_that_starts_again_is_a_later_process_with_its_id(self) -> None:
        for silent in (False, True):
            with self.subTest(silent=silent):
                run_virtual(lambda loop, s=silent: self._restart_server(loop, s))

    async def _restart_server(self, loop: VirtualLoop, silent: bool) -> None:
        store = StoreStandIn(loop)
        servers = _servers(store)
        server = await servers.add("rates", "east-a")
        key = f"servers/{server.stand_in.server_id}"
        before = _stored(store, key)
        await servers.restart(server, 2.0, silent=silent)
        (again,) = servers.running.values()
        after = _stored(store, key)
        self.assertEqual(again.stand_in.server_id, server.stand_in.server_id)
        self.assertIsNot(again.stand_in, server.stand_in)
        self.assertEqual(after["born"], before["born"] + 1)
        self.assertEqual(after["Address"], before["Address"])
        self.assertEqual(again.relay.target, 7002)
        self.assertEqual(list(servers.all_servers()), [again, server])


class UnreadableEntries(unittest.TestCase):
    def test_a_server_replaces_its_unreadable_entry_while_it_runs(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store = StoreStandIn(loop)
            servers = _servers(store)
            server = await servers.add("rates", "east-a")
            key = f"servers/{server.stand_in.server_id}"
            overwriting = asyncio.ensure_future(servers.overwrite_entry(server, b"[]", 2.0))
            await pass_time(1.0)
            self.assertEqual(_stored(store, key), [])
            await overwriting
            self.assertEqual(_stored(store, key)["State"], "ready")

        run_virtual(main)

    def test_one_that_has_gone_meanwhile_does_not(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            store = StoreStandIn(loop)
            servers = _servers(store)
            server = await servers.add("rates", "east-a")
            overwriting = asyncio.ensure_future(servers.overwrite_entry(server, b"[]", 2.0))
            await pass_time(1.0)
            servers.crash(server)
            await overwriting
            self.assertEqual(store.items, {})

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
