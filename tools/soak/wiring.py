"""Loopback listeners of the soak's stand-ins, and relays that can make the links to them fail.

Owns the listeners and relays of one day, and closes them at its end. Relies on `standins.relay` for
the link faults.
"""

import asyncio
import contextlib
from collections.abc import Callable

from standins.relay import Relay
from tools.entry_vm import free_port

_IP = "127.0.0.1"


class Wiring:
    """All listeners and relays of a day.

    Args:
        stack: Exit stack that closes them at the end of the day.
    """

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        self._stack = stack

    async def behind_relay(self, accept: Callable[[], asyncio.Protocol]) -> Relay:
        """Listen for a stand-in, and return the relay through which it is reached."""
        relay = Relay(free_port(_IP), await self.listen(accept))
        await relay.start()
        self._stack.push_async_callback(relay.stop)
        return relay

    async def listen(self, accept: Callable[[], asyncio.Protocol]) -> int:
        """Listen for a stand-in without a relay, and return the port."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(accept, _IP, 0)
        self._stack.callback(server.close)
        port: int = server.sockets[0].getsockname()[1]
        return port
