"""What VMs tell each other of servers that are cold."""

import unittest

import msgspec

from sprucewinch.gateway.datagrams import Datagrams
from sprucewinch.gateway.resources import BackendEntry, Member
from sprucewinch.gateway.servers.cold_reports import MAX_ROWS, ColdReport, ColdReports, ColdRow
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import StoreFixture, route

_MAX_PACKET_BYTES = 1_200


class _Recipients:
    """Two VMs, of which all get everything."""

    def recipients(self, changed: bool) -> list[Member]:
        assert changed
        return [Member(f"vm{n}", "east-a", "east", "", f"10.1.0.{n}:70") for n in (1, 2)]


class _Sent:
    """Records what is sent."""

    def __init__(self) -> None:
        self.messages: list[ColdReport] = []

    def sendto(self, data: bytes, _address: tuple[str, int]) -> None:
        assert len(data) <= _MAX_PACKET_BYTES
        self.messages.append(msgspec.msgpack.decode(data, type=ColdReport))


def _reports(loop: VirtualLoop, servers: int = 2) -> tuple[ColdReports, _Sent]:
    world = StoreFixture()
    world.configure(route())
    for number in range(servers):
        name = f"i-{number:010x}"
        entry = BackendEntry(name, "rates", "10.0.0.1:80", "east-a", 6, incarnation=number)
        world.put(f"servers/{name}", entry)
    datagrams, sent = Datagrams(loop.time), _Sent()
    datagrams.transport = sent  # type: ignore[assignment]
    return ColdReports(world.registry, datagrams, _Recipients()), sent  # type: ignore[arg-type]


class Told(unittest.TestCase):
    def test_a_server_of_the_same_process_counts_as_cold(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            reports, _ = _reports(loop)
            servers = list(reports.registry.servers.values())
            now = loop.time()
            rows = [ColdRow(servers[0].backend.id, 0, 2000), ColdRow(servers[1].backend.id, 7, 900)]
            reports.apply([*rows, ColdRow("unknown", 0, 900)], now)
            self.assertTrue(servers[0].cold(now + 1.9))
            self.assertFalse(servers[0].cold(now + 2.1))
            self.assertFalse(servers[1].cold(now))
            reports.apply([ColdRow(servers[0].backend.id, 0, 100)], now)
            self.assertTrue(servers[0].cold(now + 1.9))

        run_virtual(main)

    def test_a_server_that_another_vm_found_warm_is_no_longer_unproven(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            reports, _ = _reports(loop)
            first, second = reports.registry.servers.values()
            for server in (first, second):
                server.unproven_until = loop.time() + 1.0
            reports.apply([ColdRow(first.backend.id, 0, 0)], loop.time())
            self.assertFalse(first.limited_as_cold(loop.time()))
            self.assertTrue(second.limited_as_cold(loop.time()))

        run_virtual(main)


class Sent(unittest.TestCase):
    def test_a_cold_server_is_told_to_all_vms_twice(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            reports, sent = _reports(loop)
            server = next(iter(reports.registry.servers.values()))
            server.cold_until = loop.time() + 2.0
            task = loop.create_task(reports.run())
            reports.tell(server, cold=True)
            await pass_time(1.0)
            task.cancel()
            self.assertEqual(len(sent.messages), 2 * 2)
            self.assertTrue(all(m.rows[0].server == server.backend.id for m in sent.messages))
            left = [message.rows[0].left_ms for message in sent.messages]
            self.assertTrue(1700 < left[-1] < left[0] <= 2000)

        run_virtual(main)

    def test_many_cold_servers_are_told_in_messages_of_one_packet(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            reports, sent = _reports(loop, servers=100)
            for server in reports.registry.servers.values():
                server.cold_until = loop.time() + 2.0
                reports.tell(server, cold=True)
            task = loop.create_task(reports.run())
            await pass_time(0.05)
            task.cancel()
            self.assertEqual(len(sent.messages), 2 * -(-100 // MAX_ROWS))
            self.assertEqual(sum(len(message.rows) for message in sent.messages), 2 * 100)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
