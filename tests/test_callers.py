import asyncio
import json
import unittest
from typing import Any

import msgspec

from sprucewinch.config.configuration import Document
from sprucewinch.hall.node import Node
from sprucewinch.hall.requests.backend import Attempt
from sprucewinch.hall.requests.callers import CallerApp
from sprucewinch.hall.requests.dispatch import Dispatcher, PeerForwarder
from sprucewinch.hall.requests.tickets import parse_ticket
from sprucewinch.net.outcome import Outcome, Reason, not_run
from sprucewinch.net.request import Request, Responder
from tests.fakes import configure, example, node, run
from tests.manual_clock import ManualClock


class NoPeers(PeerForwarder):
    """Stands for other VMs, none of which has room."""

    async def forward(self, member, request, responder, *, home) -> Attempt:
        return Attempt(not_run(Reason.NO_ROOM))


class CallerCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.node = self.make()

    def make(self, *, configured: bool = True, **options: Any) -> Node:
        made = node(self.clock.now - 10, **options)
        if configured:
            configure(made)
            run(made, self.clock.now - 9, self.clock.now)
        return made

    def app(self, target: Node) -> CallerApp:
        return CallerApp(target, Dispatcher(target, None, NoPeers(), self.clock), self.clock)

    async def book(self, target: Node, ticket: str | None, **headers: str) -> dict[str, Any]:
        """Send a booking and return the JSON body of its refusal."""
        named = {"sprucewinch-client-block": "10.1.0.1"}
        named.update({name.replace("_", "-"): value for name, value in headers.items()})
        if ticket is not None:
            named["sprucewinch-ticket"] = ticket
        sent: list[dict] = []

        async def receive() -> dict:
            return {"type": "http.request", "body": b"", "more_body": False}

        async def send(message: dict) -> None:
            sent.append(message)

        scope = {
            "path": "/s/booking/book",
            "raw_path": b"/s/booking/book",
            "query_string": b"",
            "method": "POST",
            "headers": [(n.encode(), v.encode()) for n, v in named.items()],
            "client": ("10.1.0.1", 1),
        }
        await self.app(target)(scope, receive, send)
        return json.loads(sent[1]["body"])

    def issue(self, target: Node) -> str:
        return target.tickets.issue("booking", 1, self.clock.now)[0]

    def settle(self, target: Node, ticket: str, outcome: Outcome) -> None:
        claim = target.tickets.claim(parse_ticket(ticket), "booking", "x", self.clock.now)
        target.tickets.settle(claim, outcome)


class NotRunIsTrue(CallerCase):
    """Guards against *not run* for an operation that ran earlier under the same ticket.

    Such an answer comes about when a request is refused before the home has seen its ticket: by a
    new process, by an overloaded VM, or as malformed.
    """

    def overload(self, target: Node) -> None:
        target.in_flight.count = target.settings.limits.requests

    async def test_new_process_without_configuration(self) -> None:
        ticket = self.issue(self.node)
        self.settle(self.node, ticket, Outcome.ANSWERED)
        restarted = self.make(configured=False, incarnation=2)
        self.assertEqual((await self.book(restarted, ticket))["outcome"], "unknown")
        self.assertEqual((await self.book(restarted, None))["outcome"], "not-run")

    async def test_overloaded_vm_that_is_not_the_home(self) -> None:
        ticket = self.issue(self.node)
        self.settle(self.node, ticket, Outcome.ANSWERED)
        other = self.make(vm="b", incarnation=7)
        self.overload(other)
        refused = await self.book(other, ticket)
        self.assertEqual((refused["outcome"], refused["reason"]), ("unknown", "overloaded-vm"))
        self.assertGreater(refused["retry_after_ms"], 0)

    async def test_overloaded_home_after_a_run(self) -> None:
        for outcome in (Outcome.ANSWERED, Outcome.UNKNOWN):
            ticket = self.issue(self.node)
            self.settle(self.node, ticket, outcome)
            self.overload(self.node)
            self.assertEqual((await self.book(self.node, ticket))["outcome"], "unknown")
            self.node.in_flight.count = 0

    async def test_overloaded_home_invalidates_an_unused_ticket(self) -> None:
        ticket = self.issue(self.node)
        self.overload(self.node)
        self.assertEqual((await self.book(self.node, ticket))["outcome"], "not-run")
        self.node.in_flight.count = 0
        again = await self.book(self.node, ticket)
        self.assertEqual((again["outcome"], again["reason"]), ("not-run", "already-refused"))

    async def test_malformed_repeat(self) -> None:
        ticket = self.issue(self.node)
        self.settle(self.node, ticket, Outcome.ANSWERED)
        refused = await self.book(self.node, ticket, sprucewinch_deadline_ms="soon")
        self.assertEqual((refused["outcome"], refused["reason"]), ("unknown", "malformed"))

    async def test_service_that_was_removed(self) -> None:
        ticket = self.issue(self.node)
        self.settle(self.node, ticket, Outcome.ANSWERED)
        full_configuration = example()
        without_booking = msgspec.structs.replace(
            full_configuration,
            service=tuple(s for s in full_configuration.service if s.name != "booking"),
            pool=tuple(p for p in full_configuration.pool if p.service != "booking"),
        )
        configure(self.node, Document(2, without_booking))
        self.assertEqual((await self.book(self.node, ticket))["outcome"], "unknown")

    async def test_ticket_of_another_service(self) -> None:
        [ticket] = self.node.tickets.issue("documents", 1, self.clock.now)
        refused = await self.book(self.node, ticket)
        self.assertEqual((refused["outcome"], refused["reason"]), ("unknown", "ticket-reused"))

    async def test_missing_and_malformed_ticket(self) -> None:
        self.assertEqual((await self.book(self.node, None))["reason"], "ticket-required")
        self.assertEqual((await self.book(self.node, "junk"))["reason"], "ticket-invalid")


class _DispatcherThatReturnsLate:
    """Completes an answer and returns later, as the dispatcher does after forwarding a request."""

    def __init__(self) -> None:
        self.returned = False

    async def run(self, request: Request, responder: Responder) -> None:
        await responder.start(200, [("content-length", "2")])
        await responder.write(b"ok")
        await responder.finish()
        for _ in range(10):
            await asyncio.sleep(0)
        self.returned = True


class AnswersThatAreComplete(CallerCase):
    """Guards against taking the end of an answer for a caller that disconnects.

    The HTTP server reports a disconnect as soon as an answer is complete.
    """

    async def test_nothing_is_cancelled_or_sent_after_a_complete_answer(self) -> None:
        dispatcher = _DispatcherThatReturnsLate()
        app = CallerApp(self.node, dispatcher, self.clock)
        complete = asyncio.Event()
        received = iter([{"type": "http.request", "body": b"", "more_body": False}])
        sent: list[dict] = []

        async def receive() -> dict:
            message = next(received, None)
            if message is None:
                await complete.wait()
                return {"type": "http.disconnect"}
            return message

        async def send(message: dict) -> None:
            sent.append(message)
            if message["type"] == "http.response.body" and not message.get("more_body"):
                complete.set()

        scope = {
            "path": "/s/rates/quote",
            "raw_path": b"/s/rates/quote",
            "query_string": b"",
            "method": "GET",
            "headers": [(b"sprucewinch-client-block", b"10.1.0.1")],
            "client": ("10.1.0.1", 1),
        }
        await app(scope, receive, send)
        self.assertTrue(dispatcher.returned)
        self.assertEqual(len([m for m in sent if m["type"] == "http.response.start"]), 1)
