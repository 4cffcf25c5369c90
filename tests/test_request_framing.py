"""The application gets the requests that callers send, with their bodies, whatever is offered."""

import unittest
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from standins.virtual import pass_time, run_virtual

from .pipelined_app import OneConnection, get, settle

OFFERS = (
    "",
    "connection: upgrade\r\nupgrade: h2c\r\n",
    "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n",
    "upgrade: websocket\r\nconnection: keep-alive, Upgrade\r\nsec-websocket-version: 13\r\n",
)
SMUGGLED = b"POST /smuggled HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n"
BODIES = (b"", b"{}", SMUGGLED, SMUGGLED * 3, b"x" * 5000, b"0\r\n\r\n")


class Sent(NamedTuple):
    """One request of a caller."""

    method: str
    path: str
    body: bytes


class EchoApp:
    """Reads each request and answers with its path."""

    def __init__(self) -> None:
        self.received: list[Sent] = []

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        body, more = b"", True
        while more:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message["body"]
            more = message["more_body"]
        self.received.append(Sent(scope["method"], scope["path"], body))
        headers = [(b"content-length", b"%d" % len(scope["path"]))]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": scope["path"].encode()})


def with_length(sent: Sent, offer: str) -> bytes:
    """Return the bytes of a request whose body has a length."""
    more = f"{offer}content-length: {len(sent.body)}\r\n"
    return get(sent.path, more, method=sent.method) + sent.body


def in_chunks(sent: Sent, offer: str, *, size: int, trailer: bytes = b"") -> bytes:
    """Return the bytes of a request whose body comes in chunks."""
    head = get(sent.path, f"{offer}transfer-encoding: chunked\r\n", method=sent.method)
    pieces = [sent.body[at : at + size] for at in range(0, len(sent.body), size)]
    chunks = b"".join(b"%x;a=b\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return head + chunks + b"0\r\n" + trailer + b"\r\n"


def play(main: Callable[[EchoApp, OneConnection], Coroutine[Any, Any, None]]) -> None:
    """Run a test on a virtual loop."""

    async def run(_loop: Any) -> None:
        app = EchoApp()
        await main(app, OneConnection(app))

    run_virtual(run)


class OfferToUpgrade(unittest.TestCase):
    def test_a_body_behind_an_offer_to_upgrade_is_the_body_of_its_request(self) -> None:
        # Guards against request smuggling: a body that runs as a request of its own.
        sent = Sent("POST", "/upload", SMUGGLED)
        for offer in OFFERS:
            for data in (with_length(sent, offer), in_chunks(sent, offer, size=7)):
                with self.subTest(offer=offer):

                    async def main(app: EchoApp, one: OneConnection, data: bytes = data) -> None:
                        one.receive(data, get("/next"))
                        await settle()
                        self.assertEqual(app.received, [sent, Sent("GET", "/next", b"")])
                        self.assertEqual(one.written.count(b"HTTP/1.1 200 OK"), 2)

                    play(main)

    def test_an_offer_whose_body_has_two_framings_is_refused(self) -> None:
        for more in (
            "content-length: 4\r\ntransfer-encoding: chunked\r\n",
            "content-length: 4\r\ncontent-length: 5\r\n",
        ):
            for offer in OFFERS:
                with self.subTest(more=more, offer=offer):

                    async def main(
                        app: EchoApp, one: OneConnection, head: str = offer + more
                    ) -> None:
                        one.receive(get("/a", head, method="POST"), b"0\r\n\r\n", SMUGGLED)
                        await settle()
                        self.assertEqual(app.received, [])
                        self.assertTrue(one.written.startswith(b"HTTP/1.1 400 "), one.written)

                    play(main)

    def test_nothing_behind_a_request_for_a_tunnel_runs(self) -> None:
        for target in ("x:443", "quotes.example"):
            with self.subTest(target):

                async def main(app: EchoApp, one: OneConnection, target: str = target) -> None:
                    one.receive(get(target, method="CONNECT"), SMUGGLED)
                    await settle()
                    await pass_time(3.0)
                    self.assertNotIn("/smuggled", [sent.path for sent in app.received])
                    self.assertTrue(one.transport.closing)

                play(main)

    def test_a_request_of_version_1_0_closes_also_with_an_offer(self) -> None:
        async def main(app: EchoApp, one: OneConnection) -> None:
            more = f"{OFFERS[1]}content-length: {len(SMUGGLED)}\r\n"
            one.receive(get("/a", more, version="1.0", method="POST"), SMUGGLED, get("/next"))
            await settle()
            self.assertEqual(app.received, [Sent("POST", "/a", SMUGGLED)])

        play(main)


class Property(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(st.data())
    def test_any_split_of_any_requests_gives_the_same_requests(self, data: st.DataObject) -> None:
        expected, sent_bytes = [], b""
        for number in range(data.draw(st.integers(1, 6), "requests")):
            method = data.draw(st.sampled_from(("POST", "PUT", "GET", "DELETE")))
            body = data.draw(st.sampled_from(BODIES))
            sent = Sent(method, f"/{number}", body)
            offer = data.draw(st.sampled_from(OFFERS))
            if data.draw(st.booleans(), "in chunks"):
                size = data.draw(st.sampled_from((1, 7, 2048, 9000)))
                trailer = data.draw(st.sampled_from((b"", b"x-a: 1\r\n")))
                sent_bytes += in_chunks(sent, offer, size=size, trailer=trailer)
            else:
                sent_bytes += with_length(sent, offer)
            expected.append(sent)
        cuts = data.draw(st.lists(st.integers(0, len(sent_bytes)), max_size=8), "cuts")

        async def main(app: EchoApp, one: OneConnection) -> None:
            places = sorted({0, *cuts, len(sent_bytes)})
            for start, end in zip(places, places[1:], strict=False):
                one.receive(sent_bytes[start:end])
                await settle()
            self.assertEqual(app.received, expected)
            self.assertEqual(one.written.count(b"HTTP/1.1 200 OK"), len(expected))

        play(main)
