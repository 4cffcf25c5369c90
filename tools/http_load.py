"""A closed loop of raw HTTP requests, light enough to load one daemon from one process."""

import asyncio
import time

from hdrh.histogram import HdrHistogram

_LENGTH = b"content-length: "


class _Connection(asyncio.Protocol):
    """Sends the next request as soon as the answer to the last is complete."""

    def __init__(self, requests: list[bytes], histogram: HdrHistogram, until: float) -> None:
        self.requests = requests
        self.histogram = histogram
        self.until = until
        self.sent = 0
        self.errors = 0
        self.done = asyncio.get_running_loop().create_future()
        self._buffer = b""
        self._at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self._send()

    def _send(self) -> None:
        self._at = time.perf_counter()
        self.transport.write(self.requests[self.sent % len(self.requests)])
        self.sent += 1

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head, separator, body = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        lowered = head.lower()
        start = lowered.index(_LENGTH) + len(_LENGTH)
        length = int(lowered[start:].partition(b"\r\n")[0])
        if len(body) < length:
            return
        self._buffer = b""
        self.errors += not head.startswith(b"HTTP/1.1 200")
        self.histogram.record_value(max(1, int((time.perf_counter() - self._at) * 1e6)))
        if time.perf_counter() < self.until:
            self._send()
        else:
            self.transport.close()

    def connection_lost(self, _exc: Exception | None) -> None:
        if not self.done.done():
            self.done.set_result(None)


async def drive(
    address: str, requests: list[bytes], connections: int, seconds: float
) -> tuple[HdrHistogram, int]:
    """Load an address.

    Args:
        address: `IP:PORT`.
        requests: Whole requests, sent in turn on every connection.
        connections: Connections kept busy.
        seconds: How long.

    Returns:
        Times in microseconds, and the number of answers that were not 200.
    """
    host, _, port = address.rpartition(":")
    histogram = HdrHistogram(1, 60_000_000, 3)
    until = time.perf_counter() + seconds
    loop = asyncio.get_running_loop()
    opened = [
        await loop.create_connection(
            lambda: _Connection(requests, histogram, until), host, int(port)
        )
        for _ in range(connections)
    ]
    await asyncio.gather(*(protocol.done for _, protocol in opened))
    return histogram, sum(protocol.errors for _, protocol in opened)


def get_request(path: str, **headers: str) -> bytes:
    """Return a whole GET request."""
    lines = [f"GET {path} HTTP/1.1", "host: x"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
