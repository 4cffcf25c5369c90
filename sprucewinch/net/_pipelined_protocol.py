"""A connection of a listener whose requests run at once and are answered in their order.

Owns the reading of a connection: which bytes are parsed, when reading pauses, and what is ignored
once the connection closes. `_inbound` decides what arriving bytes belong to and when they are late,
`_answer_order` which requests run and whose answer is sent; `_exchange` holds one of them. Relies
on uvicorn's httptools protocol for parsing and framing.

Bytes are parsed in small pieces, so that a caller that sends a thousand requests in one packet has
only a few more than it may run parsed and in memory; the rest waits as bytes, and nothing more is
read, nor while the caller leaves too much unread (`_unread_answers`). While reading is paused,
`_departure` watches whether the caller leaves: the backend servers must not work on for it.

An answer may be whole before the body of its request is. The rest of that body is then read and
dropped, and the next request behind it is served. A connection that closes before it has read what
its caller sent lingers: it sends nothing more, reads until the caller closes, and ends after
`LINGER_S` at the latest. Tests: tests/test_pipelined_protocol.py, tests/test_pipelined_requests.py,
tests/test_body_after_answer.py.
"""

import abc
import asyncio
from typing import Any, Optional, Union

import httptools
from uvicorn.protocols.http.flow_control import HIGH_WATER_LIMIT
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from ._answer_order import AnswerOrder
from ._departure import DepartureWatch, has_arrived
from ._exchange import INVALID_REQUEST, Connection, Entry, Exchange, FinalBytes
from ._ignored_upgrade import parser_at_body
from ._inbound import Inbound, ReadState
from ._lazy_timer import LazyTimer
from ._request_scope import complete_scope
from ._unread_answers import UnreadAnswers
from ._write_side import WriteSide
from .answer_memory import AnswerMemory, UncountedAnswers
from .connection_counts import ConnectionCounts, ListenerConnection, Uncounted
from .content_length import content_length
from .listener_limits import ListenerLimits

_PIECE_BYTES = 2048
"""Bytes that are parsed at a time; the shortest request has 18."""


class PipelinedProtocol(HttpToolsProtocol, Connection, ListenerConnection):
    """One connection of a listener."""

    limits: ListenerLimits
    """Limits of the listener, shared by all its connections."""

    max_at_once = 1
    """Maximum number of the connection's requests that run at once."""

    memory: AnswerMemory = UncountedAnswers()
    """Memory of the answers of all the listener's connections."""

    counts: ConnectionCounts = Uncounted()
    """Counts what ends the listener's connections."""

    inbound: Inbound
    timer: LazyTimer
    watch: DepartureWatch
    out: WriteSide

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.order: AnswerOrder[Entry] = AnswerOrder(self.max_at_once)
        self.ignoring = False
        self._head: Optional[Entry] = None
        self._unparsed: Union[bytes, memoryview] = b""
        self._received_at = 0.0
        self._offers_upgrade = False
        self._behind = 0
        self.unread = UnreadAnswers(self.memory)

    @property
    def closing(self) -> bool:
        """Whether no further request is read."""
        return self.order.closed

    @property
    def read_state(self) -> ReadState:
        """What the bytes that arrive next belong to."""
        return self.inbound.state

    @property
    def read_paused(self) -> bool:
        """Whether nothing is read until requests or their answers have gone on."""
        return self.flow.read_paused

    def is_head(self, entry: Entry) -> bool:
        """Return whether all answers ahead of an entry are whole."""
        return self.order.head is entry

    def begin(self, exchange: Exchange) -> None:
        """Pass a request to the application."""
        self._start_asgi_task(exchange, self.app)

    def keeps_after(self, exchange: Exchange) -> bool:
        """Return whether the next request is read after an answer that is sent now.

        What is left of its request's body must be worth reading. A caller that waits for 100
        Continue may send the body or leave it out, so nobody can tell where its next request
        begins.
        """
        if exchange is not self.cycle or self.inbound.state is not ReadState.BODY:
            return True
        if exchange.waiting_for_100_continue and not self.inbound.body_bytes:
            return False
        length = content_length(exchange.scope) or 0
        return not self.inbound.exceeds_limit(max(length, self.inbound.body_bytes))

    def body_taken(self) -> None:
        """Read on, as the application has taken what was read of a body."""
        if self.flow.read_paused:
            self._adjust_reading()

    def close_behind(self) -> None:
        """Drop all behind the head, whose answer closes the connection."""
        self._drop(self.order.close_after_head())

    def cut(self) -> None:
        """Close the connection, as the head's answer ended before it was whole."""
        self._drop_all()
        self.transport.close()

    def read_no_more(self) -> None:
        """Read no further request, and close after the last one that has begun."""
        self._drop(self.order.close_after_begun())
        if self.order.last is not None:
            self.order.last.close_after()

    def refuse(self, content: bytes) -> None:
        """Answer with a refusal once all answers ahead are whole, and close.

        Args:
            content: The whole answer.
        """
        if self.ignoring:
            return
        self.ignoring = True
        if self.inbound.in_body and self.order.last is self.cycle:
            if self.cycle.response_started:
                self.cut()
                return
            self.order.drop_last().drop()
        elif self.order.closed:
            return
        self.order.add(FinalBytes(self.out, content), is_last=True)
        self._advance()

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Prepare to read and write."""
        super().connection_made(transport)
        self.inbound = Inbound(self.limits, self.loop.time())
        self.timer = LazyTimer(self.loop, self._time_out)
        self.watch = DepartureWatch(self.loop, transport, self._leave)
        self.out = WriteSide(
            self.loop, transport, self.unread, on_measured=self._on_measured, on_close=self._close
        )

    def connection_lost(self, exc: Optional[Exception]) -> None:
        """End all requests of the connection."""
        self.ignoring = True
        self._unparsed = b""
        self.timer.stop()
        self.watch.stop()
        self.out.end()
        self._drop_all()
        super().connection_lost(exc)

    def eof_received(self) -> None:
        """End all requests of the connection: a caller that closes its side has left."""
        self._drop_all()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; those behind the last request are dropped."""
        if self.transport.is_closing():
            return
        self._received_at = self.loop.time()
        if self.ignoring:
            self.inbound.ignore(self._received_at)
            self._watch_time()
            return
        self._unparsed = bytes(self._unparsed) + data if self._unparsed else data
        self._parse()

    def on_message_begin(self) -> None:
        """Start to read a request, unless the connection closes."""
        if self.order.closed:
            self.ignoring = True
        if self.ignoring:
            return
        self.inbound.begin_head(self._received_at)
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Append a request to the line, unless the connection closes."""
        if self.order.closed:
            self.ignoring = True
        if self.ignoring:
            return
        complete_scope(self.scope, self.parser, self.url, self.root_path)  # type: ignore[arg-type]
        exchange = Exchange(self, self._received_at)
        self.cycle = exchange
        self.inbound.begin_body(self._received_at)
        self._offers_upgrade = self.parser.should_upgrade()
        self.order.add(exchange, is_last=not exchange.keep_alive)
        self._count_behind()
        self._advance()

    def on_body(self, body: bytes) -> None:
        """Keep a chunk of the body, unless its request is over."""
        if self.ignoring:
            return
        inbound, exchange = self.inbound, self.cycle
        inbound.add_body(len(body), self._received_at)
        if inbound.state is ReadState.DISCARDED:
            self._discard_body()
        elif not exchange.disconnected:
            # uvicorn would pause reading here, unknown to `_adjust_reading`.
            exchange.body += body
            exchange.message_event.set()

    def on_message_complete(self) -> None:
        """End the body of a request; one that offers an upgrade is read by another parser."""
        if self.ignoring or self._offers_upgrade:
            return
        self.inbound.end_message(self._received_at)
        self.cycle.whole_at = self._received_at
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Let the next answer be sent, begin further requests, and read on."""
        answered = self.order.head
        self.order.complete_head()
        self.inbound.answer(self.loop.time(), current=answered is self.cycle)
        if self.inbound.state is ReadState.DISCARDED:
            self.cycle.body.clear()
        self._count_behind()
        self._go_on()

    def pause_writing(self) -> None:
        """Let answers wait until the caller reads."""
        super().pause_writing()
        self.out.measure()

    def resume_writing(self) -> None:
        """Let the next pieces be sent."""
        super().resume_writing()
        self._go_on()

    def shutdown(self) -> None:
        """Close the connection after the requests that have begun."""
        if len(self.order):
            self.read_no_more()
        else:
            self.out.close()

    @abc.abstractmethod
    def refuse_late(self) -> None:
        """Refuse a request whose headers or body are late."""

    def _advance(self) -> None:
        """Begin the requests that may run, and give its turn to a new head."""
        if not len(self.order):
            return
        while not self.unread.blocks and (entry := self.order.begin_next()) is not None:
            entry.begin()
        head = self.order.head
        if head is not None and head is not self._head:
            self._head = head
            head.take_turn()

    def _drop_all(self) -> None:
        self._drop(self.order.drop_all())

    def _drop(self, dropped: list[Entry]) -> None:
        for entry in dropped:
            entry.drop()
        self._count_behind()

    def _count_behind(self) -> None:
        behind = max(0, len(self.order) - 1)
        if behind != self._behind:
            self.memory.change_behind(behind - self._behind)
            self._behind = behind

    def _go_on(self) -> None:
        """Do what may be done now that an answer was sent or read."""
        self.out.measure()
        if self.out.is_closing():
            return
        self._advance()
        if self._unparsed or self.flow.read_paused:
            self._parse()
        else:
            self._watch_time()

    def _on_measured(self) -> None:
        now = self.loop.time()
        if self.unread.gives_up(now):
            self.memory.closed_unread(self.unread.held_bytes, self.unread.unread_s(now))
            self._leave()
        else:
            self._go_on()

    def _leave(self) -> None:
        """End everything, as the caller has left or is given up."""
        self._drop_all()
        self.transport.abort()

    def _parse(self) -> None:
        """Parse what was read, up to the requests that may run; then decide whether to read on."""
        while self._unparsed and not self._waits:
            unparsed = memoryview(self._unparsed)
            self._unparsed = unparsed[_PIECE_BYTES:]
            self._feed(unparsed[:_PIECE_BYTES])
            if self.ignoring or not self._unparsed:
                # An empty view would keep all that was read.
                self._unparsed = b""
        self._adjust_reading()
        self._watch_time()

    def _discard_body(self) -> None:
        """Close the connection when more of an answered request's body comes than is read."""
        if self.inbound.body_too_long:
            self.counts.count_long_body()
            self.out.close()

    def _watch_time(self) -> None:
        """Move the deadline of the next bytes; nothing is late while the connection waits."""
        self.timer.move(None if self._is_patient else self.inbound.deadline)

    @property
    def _is_patient(self) -> bool:
        """Whether the caller may take any time for its next bytes."""
        state = self.inbound.state
        if state is ReadState.LINGERING:
            return False
        if state is ReadState.IDLE and len(self.order):
            return True
        return self.flow.read_paused or self.ignoring

    def _time_out(self) -> None:
        """End a connection whose caller takes too long for its next bytes."""
        if self.transport.is_closing():
            return
        state = self.inbound.state
        self.counts.count_timeout(state)
        if state is ReadState.HEAD or state is ReadState.BODY:
            self.refuse_late()
        else:
            self._drop_all()
            self.transport.close()

    @property
    def _has_more_to_read(self) -> bool:
        """Whether the caller has sent more than was read, or is about to."""
        if self.inbound.state is not ReadState.IDLE or self._unparsed:
            return True
        return self.flow.read_paused and has_arrived(self.transport)

    def _close(self) -> None:
        """Close the connection, after some time to read if its caller has more to send."""
        if not self._has_more_to_read:
            self.transport.close()
            return
        self.ignoring = True
        self._unparsed = b""
        self.inbound.linger(self.loop.time())
        self.transport.write_eof()
        self._adjust_reading()
        self._watch_time()

    def _feed(self, piece: memoryview) -> None:
        while piece:
            try:
                self.parser.feed_data(piece)
            except httptools.HttpParserError:
                self.refuse(INVALID_REQUEST)
            except httptools.HttpParserUpgrade as upgrade:
                self._ignore_upgrade()
                piece = piece[upgrade.args[0] :]
                continue
            return

    def _ignore_upgrade(self) -> None:
        """Read on behind an offer to upgrade: the body of its request, then further requests."""
        self._offers_upgrade = False
        if not self.ignoring:
            version = self.parser.get_http_version()
            self.parser = parser_at_body(self, self.headers, version)

    @property
    def _waits(self) -> bool:
        """Whether further requests must wait; the body of one that has begun is read on."""
        return (self.order.full or self.unread.blocks) and not self.inbound.in_body

    @property
    def _body_is_ahead(self) -> bool:
        """Whether more of a body was read than the application has taken."""
        return self.inbound.state is ReadState.BODY and len(self.cycle.body) > HIGH_WATER_LIMIT

    def _adjust_reading(self) -> None:
        """Pause or resume reading; bytes that will be ignored are read, to notice the end."""
        waits = bool(self._unparsed) or self._waits or self._body_is_ahead
        pauses = waits and not self.ignoring
        if pauses == self.flow.read_paused or self.transport.is_closing():
            return
        if pauses:
            self.flow.pause_reading()
            self.watch.start()
        else:
            self.flow.resume_reading()
            self.watch.stop()
            self.inbound.resume(self.loop.time())
        self._watch_time()
