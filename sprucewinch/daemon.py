"""The daemon `sprucewinchd`: one process for each entry VM."""

import asyncio
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

_INCARNATION_RANDOM_BITS = 12
_LAST_WORDS = 8
"""How many VMs of other halls a stopping VM tells."""

_START_POLL_S = 0.01
_STOP_POLL_S = 0.1
_SPREAD_S = 1.5
"""How long a stopping VM waits until others have heard of it, in seconds."""


class Daemon:
    """One entry VM.

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
        self.settings = settings
        self.clock = clock or SystemClock()
        self.rng = rng or random.Random()
        self.node = Node(
            settings,
            incarnation=self._incarnation(),
            ticket_key=secrets.token_bytes(32),
            rng=self.rng,
            now=self.clock.monotonic(),
            log=log.state,
        )
        self.stopping = asyncio.Event()

    def _incarnation(self) -> int:
        milliseconds = int(self.clock.wall() * 1000)
        low = secrets.randbits(_INCARNATION_RANDOM_BITS)
        return (milliseconds << _INCARNATION_RANDOM_BITS) | low

    async def run(self) -> None:
        """Serve until the daemon is told to stop, then stop without cutting anything off.

        Raises:
            SettingsError: When an address cannot be listened on.
        """
        self.platform = HttpPlatform(self.settings.platform_address)
        self.backend = BackendClient()
        self.peers = PeerClient(self.settings.region, self.clock)
        self.dispatcher = Dispatcher(self.node, self.backend, self.peers, self.clock)
        self.loops = Loops(self.node, self.platform, self.peers, self.backend, self.clock, self.rng)
        await self._listen()
        self._take_signals()
        self.loops.start()
        log.state(f"event=started vm={self.settings.vm} hall={self.settings.hall}")
        await self._until_stopped()
        await self._leave()
        await self._close()

    async def _listen(self) -> None:
        most = self.settings.limits
        limits = ListenerLimits(most.header_bytes, most.connections, most.requests)
        callers = CallerApp(self.node, self.dispatcher, self.clock)
        operators = OperatorsApp(self.settings, self.node, self.platform, self.clock, self._applied)
        apps = {"caller_address": callers, "operators_address": operators.routes()}
        sockets = {key: bind(key, getattr(self.settings, key)) for key in apps}
        peer_socket = bind("peer_address", self.settings.peer_address)
        self.servers: list[uvicorn.Server] = []
        self.serving: list[asyncio.Task] = []
        for key, app in apps.items():
            server = make_listener(app, limits)
            self.servers.append(server)
            self.serving.append(asyncio.create_task(server.serve(sockets=[sockets[key]])))
        self.peer_listener = self._peer_listener()
        await self.peer_listener.start(sock=peer_socket)
        while not all(server.started for server in self.servers):
            await asyncio.sleep(_START_POLL_S)

    def _peer_listener(self) -> PeerListener:
        peer = PeerServer(
            self.loops.exchange,
            self.dispatcher,
            self.clock,
            max_requests=self.settings.limits.requests,
            changed=self.loops.changed,
        )
        return PeerListener(peer, connections=self.settings.limits.connections)

    def _take_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._signalled)

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
            try:
                async with asyncio.timeout(_STOP_POLL_S):
                    await self.stopping.wait()
            except TimeoutError:
                continue

    async def _leave(self) -> None:
        """Leave look-ups, wait out cached answers, then finish every request in flight."""
        self.node.leave()
        await self.loops.exchange_with(self.loops.partners(_LAST_WORDS))
        ttl_s = 0.0
        if self.node.topology is not None:
            ttl_s = self.node.topology.configuration.lookup.ttl_ms / 1000
        await self._finish_requests(until=self.clock.monotonic() + ttl_s + _SPREAD_S)
        self.node.finish()
        await self.loops.exchange_with(self.loops.partners(_LAST_WORDS))

    async def _finish_requests(self, *, until: float) -> None:
        reported = self.clock.monotonic()
        while self.clock.monotonic() < until or self.node.requests_in_flight:
            await asyncio.sleep(_STOP_POLL_S)
            now = self.clock.monotonic()
            if now - reported >= self.settings.stop.report_s and self.node.requests_in_flight:
                reported = now
                log.state(f"event=stopping in_flight={self.node.requests_in_flight}")

    async def _close(self) -> None:
        await self.loops.stop()
        for server in self.servers:
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
