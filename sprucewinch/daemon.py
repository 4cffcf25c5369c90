"""The daemon `sprucewinchd`: one process for each entry VM; builds, starts and stops its parts.

`Daemon` owns the composition of the parts that do I/O, the three listeners and the order of a
shutdown. It relies on `hall.node` for every decision, on `hall.loops` for the periodic work, on
`net.http_server` for listeners with limits, and on `process_signals`. A shutdown aborts no request:
it ends when the last one has ended.
"""

import asyncio
import contextlib
import random
import secrets
import signal
import sys
from pathlib import Path
from typing import Optional

import fire
import uvicorn

from . import log
from .clock import Clock, SystemClock
from .config.configuration import Document
from .config.loading import encode_document
from .config.settings import Settings, load_settings
from .errors import SprucewinchError
from .hall.loops import Loops, configuration_document
from .hall.node import Node
from .hall.peers.peer_client import PeerClient
from .hall.peers.peer_listener import PeerListener
from .hall.peers.peer_server import PeerServer
from .hall.requests.backend import BackendClient
from .hall.requests.callers import CallerApp
from .hall.requests.dispatch import Dispatcher
from .hall.store.http_store import HttpStore
from .net.http_server import ListenerLimits, bind, make_listener
from .operators.port import OperatorsApp
from .process_signals import ProcessSignals

_INCARNATION_RANDOM_BITS = 12
"""Random low bits of an incarnation, below the wall clock's milliseconds. Two processes of one name
that start in the same millisecond get the same number in one case of 4096."""

_TICKET_KEY_BYTES = 32
"""Length of the key of this process's tickets, in bytes: 256 bits, as is usual for such keys."""

_MAX_LEAVING_FANOUT = 8
"""Most VMs of other halls that a stopping VM notifies directly."""

_START_POLL_S = 0.01
"""Time between two checks that the listeners have started, in seconds."""

_STOP_POLL_S = 0.1
"""Time between two checks of a shutdown's progress, or for a newer process of this name, in
seconds."""

_PROPAGATION_DELAY_S = 1.5
"""Time in which the other VMs learn that this one is leaving, in seconds: one and a half intervals
of `loops.EXCHANGE_S`. It is added to the time for which callers cache look-ups."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


def _new_incarnation(clock: Clock) -> int:
    """Return a number above that of any earlier process, made from the wall clock."""
    milliseconds = int(clock.wall() * _MS_PER_S)
    low = secrets.randbits(_INCARNATION_RANDOM_BITS)
    return (milliseconds << _INCARNATION_RANDOM_BITS) | low


class Daemon:
    """One entry VM. The constructor needs a running event loop and opens no socket.

    Args:
        settings: Its settings.
        clock: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Optional[Clock] = None,
        rng: Optional[random.Random] = None,
    ) -> None:
        clock = clock or SystemClock()
        rng = rng or random.Random()
        self.settings = settings
        self.clock = clock
        self.stopping = asyncio.Event()
        self.node = Node(
            settings,
            incarnation=_new_incarnation(clock),
            ticket_key=secrets.token_bytes(_TICKET_KEY_BYTES),
            rng=rng,
            now=clock.monotonic(),
            log=log.state,
        )
        self.store = HttpStore(settings.platform_address)
        self.backend = BackendClient()
        self.peers = PeerClient(settings.region, clock)
        self.dispatcher = Dispatcher(self.node, self.backend, self.peers, clock)
        self.loops = Loops(self.node, self.store, self.peers, self.backend, clock, rng)
        self.servers = self._http_servers()
        self.peer_listener = self._peer_listener()
        self.server_tasks: list[asyncio.Task] = []
        stop_signals = (signal.SIGTERM, signal.SIGINT)
        self.signals = ProcessSignals(dict.fromkeys(stop_signals, self._on_stop_signal))

    async def run(self) -> None:
        """Serve until a signal or a newer process ends the daemon, then finish all requests.

        Raises:
            SettingsError: When an address cannot be listened on.
        """
        await self._start_listeners()
        self.signals.take()
        self.loops.start()
        log.state(f"event=started vm={self.settings.vm} hall={self.settings.hall}")
        await self._until_stopped()
        await self._leave()
        await self._close()
        self.signals.ignore()

    def _http_servers(self) -> dict[str, uvicorn.Server]:
        """Return the servers for callers and operators, keyed by the setting of their address."""
        bounds = self.settings.limits
        limits = ListenerLimits(bounds.header_bytes, bounds.connections, bounds.requests)
        callers = CallerApp(self.node, self.dispatcher, self.clock)
        operators = OperatorsApp(self.settings, self.node, self.store, self.clock, self._on_apply)
        return {
            "caller_address": make_listener(callers, limits),
            "operators_address": make_listener(operators.routes(), limits),
        }

    def _peer_listener(self) -> PeerListener:
        peer = PeerServer(
            self.loops.exchange,
            self.dispatcher,
            self.clock,
            max_requests=self.settings.limits.requests,
            changed=self.loops.changed,
        )
        return PeerListener(peer, connections=self.settings.limits.connections)

    async def _start_listeners(self) -> None:
        sockets = {key: bind(key, getattr(self.settings, key)) for key in self.servers}
        peer_socket = bind("peer_address", self.settings.peer_address)
        for key, server in self.servers.items():
            serve = server.serve(sockets=[sockets[key]])
            self.server_tasks.append(asyncio.create_task(serve))
        await self.peer_listener.start(sock=peer_socket)
        while not all(server.started for server in self.servers.values()):
            await asyncio.sleep(_START_POLL_S)

    def _on_stop_signal(self) -> None:
        if self.stopping.is_set():
            log.state("event=stop-repeated note='already stopping; requests are finished first'")
        self.stopping.set()

    def _on_apply(self, document: Document) -> None:
        stored = configuration_document(document.revision, encode_document(document))
        if self.node.documents.offer(stored):
            self.node.tick(self.clock.monotonic())
            self.loops.changed()

    async def _until_stopped(self) -> None:
        while not self.stopping.is_set():
            if self.node.membership.superseded:
                log.trouble("event=superseded note='a newer process has this name'")
                return
            # A time-out is no error: the loop checks again.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_STOP_POLL_S):
                    await self.stopping.wait()

    async def _leave(self) -> None:
        """Withdraw from look-ups, wait until cached answers expire, and finish all requests."""
        self.node.leave()
        await self.loops.exchange_with(self.loops.partners(_MAX_LEAVING_FANOUT))
        ttl_s = 0.0
        if self.node.topology is not None:
            ttl_s = self.node.topology.configuration.lookup.ttl_ms / _MS_PER_S
        await self._finish_requests(until=self.clock.monotonic() + ttl_s + _PROPAGATION_DELAY_S)
        self.node.finish()
        await self.loops.exchange_with(self.loops.partners(_MAX_LEAVING_FANOUT))

    async def _finish_requests(self, *, until: float) -> None:
        reported_at = self.clock.monotonic()
        while self.clock.monotonic() < until or self.node.in_flight.count:
            await asyncio.sleep(_STOP_POLL_S)
            now = self.clock.monotonic()
            if now - reported_at >= self.settings.stop.report_s and self.node.in_flight.count:
                reported_at = now
                log.state(f"event=stopping in_flight={self.node.in_flight.count}")

    async def _close(self) -> None:
        await self.loops.stop()
        for server in self.servers.values():
            server.should_exit = True
        await asyncio.gather(*self.server_tasks)
        self.peer_listener.close()
        self.peers.close()
        await self.backend.close()
        await self.store.close()
        log.state(f"event=stopped vm={self.settings.vm}")


def run(settings: str) -> None:
    """Run one entry VM.

    Args:
        settings: Path of the settings file, in TOML.
    """
    try:
        loaded = load_settings(Path(settings))
        log.configure(loaded.log_format)
        _run_loop(loaded)
    except SprucewinchError as error:
        print(f"sprucewinchd: {error}", file=sys.stderr)
        sys.exit(error.exit_code)


def _run_loop(settings: Settings) -> None:
    import uvloop

    async def serve() -> None:
        await Daemon(settings).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve())


def main() -> None:
    """Entry point of `sprucewinchd`."""
    fire.Fire(run, name="sprucewinchd")


if __name__ == "__main__":
    main()
