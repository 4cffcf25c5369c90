"""The daemon `sprucewinchd`: one process for each entry VM; builds, starts and stops its parts.

Owns the composition of the parts that do I/O, the three listeners and the order of a stop. Relies
on `hall.node` for every decision, on `hall.loops` for the periodic work, on `net.http_server` for
bounded listeners, and on `process_signals`. A stop cuts no request off: it ends when the last one
has ended.
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
from .hall.store.http_store import HttpPlatform
from .net.http_server import ListenerLimits, bind, make_listener
from .operators.port import OperatorsApp
from .process_signals import ProcessSignals

_INCARNATION_RANDOM_BITS = 12
"""Random low bits of an incarnation, below the wall clock's milliseconds: two processes of one name
that start in the same millisecond differ but for one case in 4096."""

_TICKET_KEY_BYTES = 32
"""Length of the key of this process's tickets, in bytes: 256 bits, as is usual for such keys."""

_LEAVING_FANOUT = 8
"""VMs of other halls that a stopping VM informs at once."""

_START_POLL_S = 0.01
"""Time between two checks that the listeners have started, in seconds."""

_STOP_POLL_S = 0.1
"""Time between two checks of a stop's progress or of a newer process of this name, in seconds."""

_SPREAD_S = 1.5
"""Time until the other VMs know that this one leaves, in seconds, on top of the time for which
callers cache look-ups: one and a half rounds of `loops.EXCHANGE_S`."""

_MS_PER_S = 1000
"""Milliseconds in a second."""


def _new_incarnation(clock: Clock) -> int:
    """Return a number above that of any earlier process, by the wall clock."""
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
        self.platform = HttpPlatform(settings.platform_address)
        self.backend = BackendClient()
        self.peers = PeerClient(settings.region, clock)
        self.dispatcher = Dispatcher(self.node, self.backend, self.peers, clock)
        self.loops = Loops(self.node, self.platform, self.peers, self.backend, clock, rng)
        self.servers = self._http_servers()
        self.peer_listener = self._peer_listener()
        self.serving: list[asyncio.Task] = []
        stops = (signal.SIGTERM, signal.SIGINT)
        self.signals = ProcessSignals(dict.fromkeys(stops, self._signalled))

    async def run(self) -> None:
        """Serve until the daemon is told to stop, then stop without cutting anything off.

        Raises:
            SettingsError: When an address cannot be listened on.
        """
        await self._listen()
        self.signals.take()
        self.loops.start()
        log.state(f"event=started vm={self.settings.vm} hall={self.settings.hall}")
        await self._until_stopped()
        await self._leave()
        await self._close()
        self.signals.ignore()

    def _http_servers(self) -> dict[str, uvicorn.Server]:
        """Return the servers of callers and operators, by the setting of their address."""
        most = self.settings.limits
        limits = ListenerLimits(most.header_bytes, most.connections, most.requests)
        callers = CallerApp(self.node, self.dispatcher, self.clock)
        operators = OperatorsApp(self.settings, self.node, self.platform, self.clock, self._applied)
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

    async def _listen(self) -> None:
        sockets = {key: bind(key, getattr(self.settings, key)) for key in self.servers}
        peer_socket = bind("peer_address", self.settings.peer_address)
        for key, server in self.servers.items():
            serve = server.serve(sockets=[sockets[key]])
            self.serving.append(asyncio.create_task(serve))
        await self.peer_listener.start(sock=peer_socket)
        while not all(server.started for server in self.servers.values()):
            await asyncio.sleep(_START_POLL_S)

    def _signalled(self) -> None:
        if self.stopping.is_set():
            log.state("event=stop-repeated note='already stopping; requests are finished first'")
        self.stopping.set()

    def _applied(self, document: Document) -> None:
        held = configuration_document(document.revision, encode_document(document))
        if self.node.shelf.offer(held):
            self.node.tick(self.clock.monotonic())
            self.loops.changed()

    async def _until_stopped(self) -> None:
        while not self.stopping.is_set():
            if self.node.membership.superseded:
                log.trouble("event=superseded note='a newer process has this name'")
                return
            # No error: the loop checks again after each time limit.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_STOP_POLL_S):
                    await self.stopping.wait()

    async def _leave(self) -> None:
        """Leave look-ups, wait until cached answers expire, then finish every request in flight."""
        self.node.leave()
        await self.loops.exchange_with(self.loops.partners(_LEAVING_FANOUT))
        ttl_s = 0.0
        if self.node.topology is not None:
            ttl_s = self.node.topology.configuration.lookup.ttl_ms / _MS_PER_S
        await self._finish_requests(until=self.clock.monotonic() + ttl_s + _SPREAD_S)
        self.node.finish()
        await self.loops.exchange_with(self.loops.partners(_LEAVING_FANOUT))

    async def _finish_requests(self, *, until: float) -> None:
        reported = self.clock.monotonic()
        while self.clock.monotonic() < until or self.node.in_flight.count:
            await asyncio.sleep(_STOP_POLL_S)
            now = self.clock.monotonic()
            if now - reported >= self.settings.stop.report_s and self.node.in_flight.count:
                reported = now
                log.state(f"event=stopping in_flight={self.node.in_flight.count}")

    async def _close(self) -> None:
        await self.loops.stop()
        for server in self.servers.values():
            server.should_exit = True
        await asyncio.gather(*self.serving)
        self.peer_listener.close()
        self.peers.close()
        await self.backend.close()
        await self.platform.close()
        log.state(f"event=stopped vm={self.settings.vm}")


def run(settings: str) -> None:
    """Run one entry VM.

    Args:
        settings: Path of the settings file, in TOML.
    """
    try:
        checked = load_settings(Path(settings))
        log.configure(checked.log_format)
        _run_loop(checked)
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
