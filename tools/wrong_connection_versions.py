"""Each mechanism of callers' connections made wrong in one place, with the tests that fail then.

Owns the list alone; `wrong_versions` runs it with the others.
"""

from .wrong_version_list import WrongVersion

_NET = "sprucewinch/net"
_REQUESTS = "sprucewinch/gateway/requests"
_PROTOCOL = f"{_NET}/_pipelined_protocol.py"
_EXCHANGE = f"{_NET}/_exchange.py"
_ORDER = f"{_NET}/_answer_order.py"
_PROTOCOL_TESTS = ("tests.test_pipelined_protocol",)
_VM_TESTS = ("tests.test_pipelined_requests",)

CONNECTION_VERSIONS = (
    WrongVersion(
        "ORDER",
        "an answer does not wait for those ahead",
        _EXCHANGE,
        "        elif await self.wait_for_turn():\n            await super().send(message)",
        "        else:\n            await super().send(message)",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ORDER",
        "the bound on requests at once is ignored",
        _ORDER,
        "if self.begun >= min(len(self._line), self.max_begun):",
        "if self.begun >= len(self._line):",
        ("tests.test_answer_order", *_PROTOCOL_TESTS),
    ),
    WrongVersion(
        "ORDER",
        "all that was read is parsed at once",
        _PROTOCOL,
        "while self._unparsed and not self._waits:",
        "while self._unparsed:",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ORDER",
        "reading goes on beyond the bound",
        _PROTOCOL,
        "if not self.ignoring and (self._unparsed or self._waits or self._body_is_ahead):",
        "if not self.ignoring and self._body_is_ahead:",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ORDER",
        "the body of a request at the bound is not read",
        _PROTOCOL,
        "return self.order.full and not self._in_body",
        "return self.order.full",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ORDER",
        "a body that nobody reads is read on",
        _PROTOCOL,
        "return self._in_body and len(self.cycle.body) > HIGH_WATER_LIMIT",
        "return False",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ORDER",
        "a refusal of the listener overtakes the answers ahead",
        _PROTOCOL,
        "self.order.add(FinalBytes(self.transport, content), is_last=True)",
        "FinalBytes(self.transport, content).take_turn()",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ORDER",
        "a request whose body is broken stays ahead of its refusal",
        _PROTOCOL,
        "self.order.drop_last().drop()",
        "pass",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ORDER",
        "100 Continue overtakes the answers ahead",
        _EXCHANGE,
        "if self.waiting_for_100_continue and await self.wait_for_turn():",
        "if self.waiting_for_100_continue:",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ORDER",
        "what follows an upgrade is lost",
        _PROTOCOL,
        "rest = bytes(piece[upgrade.args[0] :])",
        'rest = b""',
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ORDER",
        "headers that wait behind others time out",
        f"{_NET}/http_server.py",
        "if self.flow.read_paused:",
        "if False:",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ORDER",
        "a connection with requests that run counts as idle",
        _PROTOCOL,
        "if not len(self.order) and not self._in_message and",
        "if not self._in_message and",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ONCE",
        "what stands behind a closing answer goes on",
        _EXCHANGE,
        "                self.connection.close_behind()",
        "                pass",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ONCE",
        "what stands behind an answer that was cut off goes on",
        _EXCHANGE,
        "            self.connection.cut()",
        "            pass",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ONCE",
        "requests behind one that closes the connection are read",
        _ORDER,
        "self.closed = self.closed or is_last",
        "pass",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "ONCE",
        "a request that must not run twice does not wait for its turn",
        f"{_REQUESTS}/app.py",
        "            await self.pipeline.wait_for_turn(request)\n",
        "",
        _VM_TESTS,
    ),
    WrongVersion(
        "ONCE",
        "a request whose route changed does not wait for its turn",
        f"{_REQUESTS}/pipeline.py",
        "            await self._take_turn(request, route)  # The route may have changed.\n",
        "",
        _VM_TESTS,
    ),
    WrongVersion(
        "ONCE",
        "a request whose connection closes runs as if its turn had come",
        _EXCHANGE,
        "            await self._turn.wait()\n        return not self.disconnected",
        "            await self._turn.wait()\n        return True",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "BUDGET",
        "the wait for its turn does not count against a request's deadline",
        _EXCHANGE,
        "return asyncio.get_running_loop().time() - self.arrived_at",
        "return 0.0",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "BUDGET",
        "the application takes the time when a request began for its arrival",
        f"{_REQUESTS}/app.py",
        "now - (self.turn.waited_s if self.turn else 0.0)",
        "now",
        _VM_TESTS,
    ),
    WrongVersion(
        "GONE",
        "requests behind the first go on when their caller leaves",
        _PROTOCOL,
        "        self._stop_watching()\n        self._drop(self.order.drop_all())",
        "        self._stop_watching()",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "GONE",
        "a caller that leaves while reading is paused is not noticed",
        f"{_NET}/_departure.py",
        "return any(event & _LEFT for _, event in poll.poll(0))",
        "return False",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "LOST",
        "a stop drops requests that have begun",
        _PROTOCOL,
        "self._drop(self.order.close_after_begun())",
        "self._drop(self.order.close_after_head())",
        (*_PROTOCOL_TESTS, *_VM_TESTS),
    ),
    WrongVersion(
        "LOST",
        "a stop does not close the connection after the last answer",
        _PROTOCOL,
        "            self.order.last.close_after()",
        "            pass",
        _PROTOCOL_TESTS,
    ),
    WrongVersion(
        "LOST",
        "during a stop the next answer closes the connection",
        f"{_REQUESTS}/app.py",
        "        self.turn.read_no_more()\n        return False",
        "        self.turn.read_no_more()\n        return True",
        _VM_TESTS,
    ),
    WrongVersion(
        "LOST",
        "requests are read during a stop",
        _PROTOCOL,
        "    def on_headers_complete(self) -> None:\n"
        '        """Append a request to the line, unless the connection closes."""\n'
        "        if self.order.closed:",
        "    def on_headers_complete(self) -> None:\n"
        '        """Append a request to the line, unless the connection closes."""\n'
        "        if self.ignoring:",
        _PROTOCOL_TESTS,
    ),
)
