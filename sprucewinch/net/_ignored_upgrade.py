"""Reads on behind headers that offer an upgrade of the protocol, as if they offered none.

A server may ignore such an offer (RFC 9110, 7.8), and the request is then framed as any other one.
httptools reads no body behind an offer: it takes all that follows for the new protocol. So a second
parser continues, which is told only how the body is framed. Owns that parser's start; relies on
httptools for the grammar. The first parser has checked the headers, and that no two of them frame
the body. Tests: tests/test_request_framing.py.
"""

from collections.abc import Iterable
from typing import Any

import httptools

_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
"""Headers that tell where a body ends (RFC 9112)."""


def parser_at_body(
    protocol: Any, headers: Iterable[tuple[bytes, bytes]], http_version: str
) -> httptools.HttpRequestParser:
    """Return a parser of the body of a request whose headers were read, and of what follows.

    A body that is empty is reported as complete at once.

    Args:
        protocol: Receives the callbacks of httptools.
        headers: Headers of the request, names in lower case.
        http_version: Its version.
    """
    framing = [b"%s: %s\r\n" % header for header in headers if header[0] in _FRAMING_HEADERS]
    callbacks = _Callbacks(protocol)
    parser = httptools.HttpRequestParser(callbacks)
    parser.set_dangerous_leniencies(lenient_data_after_close=True)
    parser.feed_data(b"".join((b"POST / HTTP/%s\r\n" % http_version.encode(), *framing, b"\r\n")))
    callbacks.in_head = False
    return parser


class _Callbacks:
    """Passes on the callbacks of a parser, except those about the headers that it starts with.

    Args:
        protocol: Receives the callbacks.
    """

    __slots__ = ("in_head", "on_body", "on_message_complete", "protocol")

    def __init__(self, protocol: Any) -> None:
        self.protocol = protocol
        self.in_head = True
        self.on_body = protocol.on_body
        self.on_message_complete = protocol.on_message_complete

    def on_message_begin(self) -> None:
        if not self.in_head:
            self.protocol.on_message_begin()

    def on_url(self, url: bytes) -> None:
        if not self.in_head:
            self.protocol.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.in_head:
            self.protocol.on_header(name, value)

    def on_headers_complete(self) -> None:
        if not self.in_head:
            self.protocol.on_headers_complete()
