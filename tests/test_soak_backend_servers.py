"""What the soak does to its backend servers: evacuations of one data hall that overlap."""

import asyncio
import unittest
from unittest import mock

from standins.consortium_store import StoreStandIn
from standins.virtual import VirtualLoop, pass_time, run_virtual
from tools.soak.backend_servers import BackendServers
from tools.soak.ledger import Ledger

_KEY = "op/evacuate/east-a"


class Evacuations(unittest.TestCase):
    def test_the_last_of_two_that_overlap_takes_the_hall_back(self) -> None:
        """The first one's end took the hall back, and the second's ended the soak: seed 502."""

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


if __name__ == "__main__":
    unittest.main()
