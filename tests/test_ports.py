"""`tools.ports` returns ports that are free, distinct and outside the ephemeral range."""

import socket
import unittest

from tools.ports import FIRST_PORT, LAST_PORT, free_ports


class FreePorts(unittest.TestCase):
    def test_ports_are_distinct_and_below_the_ephemeral_range(self) -> None:
        ports = free_ports(200)
        self.assertEqual(len(set(ports)), 200)
        with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
            first_of_clients = int(file.read().split()[0])
        self.assertGreaterEqual(first_of_clients, LAST_PORT)
        self.assertTrue(all(FIRST_PORT <= port < LAST_PORT for port in ports))

    def test_two_calls_return_no_port_in_common(self) -> None:
        self.assertFalse(set(free_ports(500)) & set(free_ports(500)))

    def test_a_port_in_use_is_not_returned(self) -> None:
        with socket.socket() as held:
            held.bind(("127.0.0.1", free_ports(1)[0]))
            held.listen()
            self.assertNotIn(held.getsockname()[1], free_ports(1000))
