"""Asks a sample of backend servers for an answer, to tell whether this VM's links work.

The sample takes servers of each data hall in turn, in random order, so that the loss of one hall
or of one service does not look like the loss of all links. All connections are tried at once. An
established connection proves nothing, as something between may have accepted it: a server is
reached when it answers a GET on its service's health path, with any status. A server that may not
be asked, as its service has no health path or as it is leaving, paused or limited, is reached when
the connection is established.

Each health check costs its server work, so that servers are asked `_ASK_INTERVAL_S` apart, and no
more once enough have answered. All ends `CHECK_TIMEOUT_S` after the start. A connection that is
reached is kept in the pool for the next request.

Relies on the registry for the servers and their health paths, and on the pool for connections. Owns
no state. Decides nothing: `server_links` does. Tests: `test_gateway_server_links`.
"""

import asyncio
import enum
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ....net.connection import ConnectFailedError, Connection, ExchangeFailedError
from ...statements.statement import keep_alive_s
from ..backend_registry import BackendRegistry
from ..backend_server import BackendServer
from ..cold_limit import service_rule
from ..pool import ConnectionPool

SAMPLE_SERVERS = 6
"""Servers that one check tries."""

CONNECT_TIMEOUT_S = 0.3
"""Longest wait for a connection, in seconds: four round trips of 70 ms."""

CHECK_TIMEOUT_S = 0.7
"""Longest time of a check, in seconds; granted once more when this process stalled meanwhile."""

_ASK_INTERVAL_S = 0.05
"""Time between the health checks of two servers, in seconds."""

_MIN_STALL_S = 0.05
"""Delay of a timer beyond which this process counts as stalled, in seconds."""

_MAX_ANSWER_BYTES = 65_536
"""Size of an answer beyond which no more of it is read, in bytes."""


class CheckResult(NamedTuple):
    """Result of a check.

    Args:
        tried: Servers to which a connection was tried.
        reached: Those that answered, or accepted the connection and may not be asked.
        refused: Those that refused the connection.
        silent: Those that accepted the connection and did not answer in time.
    """

    tried: int
    reached: int
    refused: int
    silent: int


class Trial(enum.Enum):
    """What became of one server of a sample."""

    REACHED = "reached"
    REFUSED = "refused"
    UNREACHABLE = "no connection in time"
    ENDED = "the connection ended without an answer"
    SILENT = "a connection, and no answer in time"
    NOT_ASKED = "a connection; others had answered by then"


class _Turns:
    """Turns of the servers of one check to be asked.

    Attributes:
        over: True once no more servers are to be asked.
    """

    def __init__(self) -> None:
        self.over = False
        self._taken = 0

    async def wait(self) -> None:
        """Wait for the next turn; the first comes at once."""
        self._taken += 1
        await asyncio.sleep((self._taken - 1) * _ASK_INTERVAL_S)


class LinkCheck:
    """Checks this VM's links.

    Args:
        registry: Backend servers.
        pool: Opens and keeps the connections.
        rng: Source of randomness.

    Attributes:
        opened: Connections that were tried so far.
        on_connected: Called whenever a connection is established.
    """

    def __init__(self, registry: BackendRegistry, pool: ConnectionPool, rng: random.Random) -> None:
        self.registry = registry
        self.pool = pool
        self.rng = rng
        self.opened = 0
        self.on_connected: Callable[[], None] = _ignore
        self._tasks: set[asyncio.Task[Trial]] = set()

    async def run(self, enough: int, *, ask: bool = True) -> CheckResult:
        """Try a sample of servers.

        Args:
            enough: Number of servers reached after which the check ends; connections to the others
                are still kept.
            ask: False if an established connection is enough, as where all are refused.
        """
        turns = _Turns()
        tasks = {asyncio.create_task(self._try(server, turns, ask=ask)) for server in self.sample()}
        self._tasks |= tasks
        trials: list[Trial] = []
        for done in asyncio.as_completed(tasks):
            trials.append(await done)
            if trials.count(Trial.REACHED) >= enough:
                break
        turns.over = True
        self._tasks = {task for task in self._tasks if not task.done()}
        return _result(len(tasks), trials)

    def sample(self) -> list[BackendServer]:
        """Return up to `SAMPLE_SERVERS` servers, of each data hall in turn."""
        halls: dict[str, list[BackendServer]] = {}
        for server in self.registry.servers.values():
            if not server.leaving:
                halls.setdefault(server.backend.hall, []).append(server)
        for servers in halls.values():
            self.rng.shuffle(servers)
        order = list(halls.values())
        self.rng.shuffle(order)
        sample: list[BackendServer] = []
        while order and len(sample) < SAMPLE_SERVERS:
            servers = order.pop(0)
            sample.append(servers.pop())
            if servers:
                order.append(servers)
        return sample

    async def _try(self, server: BackendServer, turns: _Turns, *, ask: bool) -> Trial:
        """Connect to a server and ask it, within the time of a check."""
        self.opened += 1
        until = self.pool.monotonic() + CHECK_TIMEOUT_S
        address = server.backend.address
        try:
            # Servers may state an id of their own in health answers.
            connection = await self.pool.connect(
                address, CONNECT_TIMEOUT_S, id_header=None, answers=self.pool.answers
            )
        except ConnectFailedError as error:
            return Trial.REFUSED if error.refused else Trial.UNREACHABLE
        self.on_connected()
        path = self._health_path(server) if ask else ""
        if not path:
            self._keep(address, connection)
            return Trial.REACHED
        await turns.wait()
        if turns.over:
            self._keep(address, connection)
            return Trial.NOT_ASKED
        return await self._ask_in_time(address, path, connection, until)

    async def _ask_in_time(
        self, address: str, path: str, connection: Connection, until: float
    ) -> Trial:
        """Ask a server until a monotonic time, or longer if this process stalled.

        A stalled process finds its timers due before it reads the answers that came meanwhile.
        """
        asked = asyncio.create_task(self._ask(address, path, connection))
        try:
            await asyncio.wait((asked,), timeout=until - self.pool.monotonic())
            if not asked.done() and self.pool.monotonic() - until > _MIN_STALL_S:
                await asyncio.wait((asked,), timeout=CHECK_TIMEOUT_S)
            return asked.result() if asked.done() else Trial.SILENT
        finally:
            asked.cancel()

    async def _ask(self, address: str, path: str, connection: Connection) -> Trial:
        """Make a GET on the health path; any answer will do."""
        previous = connection.on_bytes

        def limit() -> None:
            if connection.received_bytes > _MAX_ANSWER_BYTES:
                connection.fail("the health answer is too long")

        connection.on_bytes = limit
        request = f"GET {path} HTTP/1.1\r\nhost: {address}\r\n\r\n"
        try:
            answer = await connection.exchange(request.encode())
        except ExchangeFailedError:
            # An answer that is too long to be read whole has come over the links too.
            long = connection.received_bytes > _MAX_ANSWER_BYTES
            return Trial.REACHED if long else Trial.ENDED
        connection.on_bytes = previous
        self._keep(address, connection, keep_alive_s(answer))
        return Trial.REACHED

    def _keep(self, address: str, connection: Connection, *keep_s: float) -> None:
        """Give a connection to the pool, which sends requests on it."""
        connection.id_header = self.pool.id_header
        self.pool.give_back(address, connection, *keep_s)

    def _health_path(self, server: BackendServer) -> str:
        """Return the path on which a server may be asked; empty if it may not."""
        now, stated = self.pool.monotonic(), server.stated
        if server.leaving or stated.pause_until > now or stated.is_limited(now):
            return ""
        rule = service_rule(self.registry.store_view, server.backend.service)
        return rule.health_path if rule else ""


def _result(tried: int, trials: Iterable[Trial]) -> CheckResult:
    """Return the counts of what became of the servers."""
    ends = list(trials)
    return CheckResult(
        tried, ends.count(Trial.REACHED), ends.count(Trial.REFUSED), ends.count(Trial.SILENT)
    )


def _ignore() -> None:
    """Do nothing when a connection is established."""
