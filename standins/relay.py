"""Stand-in for a network link: a TCP relay that can cut, reset, delay and freeze connections.

Owns the connections on both sides and the faults of the link. Forwards bytes unchanged, an end of
stream as an end of stream and a reset as a reset. Its tests are in `tests/test_standins_relay.py`.
"""

import asyncio

from .resets import reset

_PIECE_BYTES = 65_536
"""Maximum number of bytes forwarded in one piece."""


class Relay:
    """Relays TCP connections from one loopback port to another.

    Args:
        port: Port on which the relay listens.
        target: Port to which the relay connects.

    Attributes:
        broke_at: Times of the loop at which it ended its connections, in seconds.
    """

    def __init__(self, port: int, target: int) -> None:
        self.port = port
        self.target = target
        self.delay_s = 0.0
        self.frozen = False
        self.is_cut = False
        self.passed = 0
        self.broke_at: list[float] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._to_target = asyncio.Event()
        self._to_caller = asyncio.Event()
        self.thaw()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.cut()
        self.thaw()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Close all connections and refuse new ones until `mend`."""
        self.is_cut = True
        self.broke_at.append(asyncio.get_running_loop().time())
        for writer in list(self._writers):
            writer.transport.abort()

    def refuse(self) -> None:
        """Close all connections and stop listening, as if the target process had ended."""
        if self._server is not None:
            self._server.close()
        self.cut()

    def mend(self) -> None:
        """Accept connections again."""
        self.is_cut = False

    def reset(self) -> None:
        """Reset all connections; new ones are still accepted."""
        self.broke_at.append(asyncio.get_running_loop().time())
        for writer in list(self._writers):
            reset(writer.transport)

    def freeze(self, *, to_target: bool = True, to_caller: bool = True) -> None:
        """Hold bytes back until `thaw`; connections stay open.

        Args:
            to_target: Hold back bytes sent to the target.
            to_caller: Hold back bytes sent by the target.
        """
        if to_target:
            self._to_target.clear()
        if to_caller:
            self._to_caller.clear()

    def thaw(self) -> None:
        """Forward bytes again, those held back first."""
        self._to_target.set()
        self._to_caller.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self.is_cut:
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, to_writer}
        try:
            await asyncio.gather(
                self._pump(reader, to_writer, self._to_target),
                self._pump(to_reader, writer, self._to_caller),
            )
        finally:
            for each in (writer, to_writer):
                self._writers.discard(each)
                each.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, thawed: asyncio.Event
    ) -> None:
        try:
            while data := await reader.read(_PIECE_BYTES):
                await asyncio.sleep(self.delay_s)
                await thawed.wait()
                self.passed += len(data)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            reset(writer.transport)
