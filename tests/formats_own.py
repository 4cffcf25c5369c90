"""One daemon of the own interface whose clock stands still, for the tests of formats.

Names of the code stand here and in no literal; see `test_formats`.
"""

import asyncio
import contextlib
import io
import random
import re
import socket
import sys
import threading
import time
from collections.abc import Iterator
from typing import Any
from unittest import mock

import msgspec

from sprucewinch.cli import main as command_line
from sprucewinch.clock import Clock
from sprucewinch.errors import WriteUnknownError
from sprucewinch.gateway.internal_apps import TextApp
from sprucewinch.gateway.shared_text import SharedText
from sprucewinch.hall.node import Node
from sprucewinch.hall.requests.backend import Attempt
from sprucewinch.hall.requests.callers import CallerApp
from sprucewinch.hall.requests.dispatch import Dispatcher, PeerForwarder
from sprucewinch.hall.store.documents import Revisioned
from sprucewinch.net.http_server import ListenerLimits, make_listener
from sprucewinch.net.outcome import Reason, not_run
from sprucewinch.operators.port import OperatorsApp

from .fakes import FakeStore, settings
from .formats_gateway import Answered, asgi

CONFIGURATION_KEY = "steer/configuration"
TOKEN = "0123456789abcdef"
OPERATOR = (("authorization", f"Bearer {TOKEN}"), ("sprucewinch-operator", "eva"))
_OPERATION = re.compile(r"\b[0-9a-f]{32}\b")
_DIGEST = re.compile(r"@[0-9a-f]{8}\b")


def without_chance(text: str) -> str:
    """Return a text with its operation ids and the digests of policy programs made plain."""
    return _DIGEST.sub("@DIGEST", _OPERATION.sub("OPERATION", text))


class StillClock(Clock):
    """A clock that stands still."""

    def monotonic(self) -> float:
        return 100.0

    def wall(self) -> float:
        return 1764000000.5


class _NoPeers(PeerForwarder):
    async def forward(self, member: Any, request: Any, responder: Any, *, home: bool) -> Attempt:
        return Attempt(not_run(Reason.NO_ROOM))


class Lost(FakeStore):
    """A store that loses the answer to a write, and then answers nothing."""

    async def put(self, key: str, value: bytes, expected: int) -> Any:
        self.down = True
        raise WriteUnknownError("lost", "read back")


class OwnVm:
    """One entry VM.

    Args:
        store: Its store, empty by default.
    """

    def __init__(self, store: FakeStore | None = None) -> None:
        clock = StillClock()
        self.lines: list[str] = []
        self.store = store or FakeStore()
        self.node = Node(
            settings("a", "east-1", "east"),
            incarnation=399,
            ticket_key=b"k" * 32,
            rng=random.Random(1),
            now=90.0,
            log=self.lines.append,
        )
        dispatcher = Dispatcher(self.node, None, _NoPeers(), clock)  # type: ignore[arg-type]
        self.callers = CallerApp(self.node, dispatcher, clock)
        operators = OperatorsApp(self.node.settings, self.node, self.store, clock, self._applied)
        self.operators = operators.routes()

    def _applied(self, document: Any) -> None:
        value = msgspec.json.encode(document)
        self.learn(CONFIGURATION_KEY, value, document.revision)

    def learn(self, key: str, value: bytes, revision: int) -> None:
        """Learn a document."""
        self.node.documents.offer(Revisioned(key, revision, value))

    def configure(self, document: bytes, revision: int) -> "OwnVm":
        """Put a document in force, in the store too, and begin to serve."""
        self.store.write(CONFIGURATION_KEY, document)
        self.learn(CONFIGURATION_KEY, document, revision)
        for step in range(19):
            self.node.tick(91.0 + 0.5 * step)
        return self

    def leave(self) -> None:
        """Begin to leave, and be gone."""
        self.node.leave()
        self.node.finish()

    def call(self, target: str, **options: Any) -> Answered:
        """Call the callers' port."""
        return asyncio.run(asgi(self.callers, target, **options))

    def operate(self, method: str, target: str, body: bytes = b"") -> Answered:
        """Call the operators' port as an operator."""
        call = asgi(self.operators, target, method=method, headers=OPERATOR, body=body)
        answer = asyncio.run(call)
        answer.body = without_chance(answer.body.decode()).encode()
        return answer


@contextlib.contextmanager
def listening(app: Any) -> Iterator[str]:
    """Serve an application on loopback; yields its `IP:PORT`."""
    server = make_listener(app, ListenerLimits(16_384, connections=2000, requests=1000))
    bound = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{bound.getsockname()[1]}"
    thread = threading.Thread(target=lambda: asyncio.run(server.serve(sockets=[bound])))
    thread.start()
    try:
        yield address
    finally:
        server.should_exit = True
        thread.join()


def state_app(state: str) -> Any:
    """Return the listener on which a VM of the routed request path shows its state."""
    text = SharedText("state", lambda: [state], monotonic=time.monotonic)
    return TextApp({"/state": text})


def command(words: list[str], vm: str) -> tuple[int, str, str]:
    """Run the command line; returns exit status, output and errors."""
    out, err = io.StringIO(), io.StringIO()
    environment = {
        "SPRUCEWINCH_VM": vm,
        "SPRUCEWINCH_TOKEN": TOKEN,
        "USER": "eva",
        "LOGNAME": "eva",
    }
    status = 0
    with (
        mock.patch.dict("os.environ", environment),
        mock.patch.object(sys, "argv", ["sprucewinch", *words]),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        try:
            command_line()
        except SystemExit as end:
            status = int(end.code or 0)
    return status, without_chance(out.getvalue()), err.getvalue()
