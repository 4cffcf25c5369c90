"""Tells whether the other side of a connection has closed it, without reading from it.

A transport whose reading is paused does not notice the end of its connection, as unread bytes lie
before it; the kernel knows. Relies on Linux's POLLRDHUP. Tests: tests/test_pipelined_protocol.py.
"""

import asyncio
import select

_LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_left(transport: asyncio.BaseTransport) -> bool:
    """Return whether the other side has closed its connection; False where nobody can tell."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return any(event & _LEFT for _, event in poll.poll(0))
