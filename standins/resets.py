"""Resets of connections: closing a real socket ends it in order unless it is told otherwise."""

import asyncio
import contextlib
import socket
import struct

_LINGER_NONE = struct.pack("ii", 1, 0)


def reset(transport: asyncio.WriteTransport) -> None:
    """Reset a connection, so that its peer can tell it from an orderly end.

    Args:
        transport: Its own end; one in memory is told to abort.
    """
    raw = transport.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    transport.abort()
