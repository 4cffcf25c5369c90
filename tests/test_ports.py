"""Ports for programs that are about to start."""

import socket
import unittest

from tools.ports import FIRST_PORT, LAST_PORT, free_ports


class FreePorts(unittest.TestCase):
    def test_they_differ_and_no_client_connection_gets_one(self) -> None:
        ports = free_ports(200)
        self.assertEqual(len(set(ports)), 200)
        with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
            first_of_clients = int(file.read().split()[0])
        self.assertGreaterEqual(first_of_clients, LAST_PORT)
        self.assertTrue(all(FIRST_PORT <= port < LAST_PORT for port in ports))

    def test_two_calls_never_give_the_same(self) -> None:
        self.assertFalse(set(free_ports(500)) & set(free_ports(500)))

    def test_a_port_that_somebody_holds_is_not_given(self) -> None:
        with socket.socket() as held:
            held.bind(("127.0.0.1", free_ports(1)[0]))
            held.listen()
            self.assertNotIn(held.getsockname()[1], free_ports(1000))
