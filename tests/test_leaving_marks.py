"""Marks of leaving backend servers, exchanged among the VMs of a data hall."""

import unittest

from sprucewinch.config.configuration import drain_key
from sprucewinch.hall.node import LEAVING_REPORT_TTL_S, Node
from sprucewinch.hall.peers.exchange import Exchange
from sprucewinch.hall.peers.membership import LIVENESS_TIMEOUT_S

from . import fakes

HALL = {"hall": "van-1", "region": "lower-mainland"}
STEP_S = 0.5
PROBE_S = 1.0


def exchange(asking: Node, answering: Node, now: float) -> None:
    message = Exchange(asking).make_request()
    for _ in range(2):
        reply = Exchange(answering).handle_request(message, now)
        message = Exchange(asking).handle_reply(reply, now)
        if message is None:
            return


class Hall:
    """Three VMs of one data hall; only the first gets a server's report that it is leaving."""

    def __init__(self) -> None:
        self.now = 0.0
        self.nodes = [
            fakes.node(vm=vm, incarnation=number, **HALL) for number, vm in enumerate("abc", 1)
        ]
        for node in self.nodes:
            fakes.configure(node)
        self.service, admission = next(iter(self.nodes[0].admissions.by_service.items()))
        self.server = next(iter(admission.servers))

    def report(self) -> None:
        """Let the first VM get the report, by a probe or with an answer."""
        self.nodes[0].admissions.by_service[self.service].mark_leaving(
            self.server, self.now + LEAVING_REPORT_TTL_S
        )

    def step(self) -> None:
        self.now += STEP_S
        for node in self.nodes:
            node.tick(self.now)
        first, second, third = self.nodes
        for asking, answering in ((first, second), (second, third), (third, first)):
            exchange(asking, answering, self.now)

    def pass_time(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def gives_slots(self) -> list[bool]:
        """Return for each VM whether it gives new requests to the server."""
        states = (n.admissions.by_service[self.service].servers[self.server] for n in self.nodes)
        return [state.is_open(self.now) for state in states]

    def listed(self) -> list[bool]:
        """Return for each VM whether its entry lists the server as leaving."""
        return [self.server in node.own.leaving_servers for node in self.nodes]


class LeavingMarks(unittest.TestCase):
    def test_a_mark_of_the_platform_at_one_vm_reaches_all(self) -> None:
        hall = Hall()
        hall.pass_time(20.0)
        hall.nodes[0].admissions.mark_leaving([hall.server], hall.now + LEAVING_REPORT_TTL_S)
        hall.pass_time(2.0)
        self.assertEqual(hall.gives_slots(), [False, False, False])
        hall.pass_time(3 * LEAVING_REPORT_TTL_S)
        self.assertEqual(hall.gives_slots(), [True, True, True])

    def test_the_mark_of_a_single_report_lapses_at_all_vms(self) -> None:
        hall = Hall()
        hall.pass_time(20.0)
        hall.report()
        hall.pass_time(LEAVING_REPORT_TTL_S / 2)
        self.assertEqual(hall.gives_slots(), [False, False, False])
        hall.pass_time(LEAVING_REPORT_TTL_S / 2 + LIVENESS_TIMEOUT_S + LEAVING_REPORT_TTL_S)
        self.assertEqual(hall.gives_slots(), [True, True, True])
        self.assertEqual(hall.listed(), [False, False, False])

    def test_only_the_vm_that_has_the_report_lists_the_server(self) -> None:
        hall = Hall()
        hall.pass_time(20.0)
        hall.report()
        hall.pass_time(LEAVING_REPORT_TTL_S / 2)
        self.assertEqual(hall.listed(), [True, False, False])

    def test_a_server_that_keeps_reporting_stays_marked_at_all_vms(self) -> None:
        hall = Hall()
        hall.pass_time(20.0)
        hall.report()
        hall.pass_time(PROBE_S)
        for _ in range(60):
            hall.report()
            hall.pass_time(PROBE_S)
            self.assertEqual(hall.gives_slots(), [False, False, False], f"at {hall.now} s")

    def test_requests_on_a_server_that_another_vm_marked_are_still_reported(self) -> None:
        hall = Hall()
        hall.pass_time(20.0)
        hall.report()
        hall.pass_time(LEAVING_REPORT_TTL_S / 2)
        for node in hall.nodes:
            self.assertIn(drain_key("server", hall.server), dict(node.own.held))


if __name__ == "__main__":
    unittest.main()
