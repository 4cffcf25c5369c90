"""Resets of connections.

Closing a real socket ends its connection in order, so a reset has to be asked for. Owns how that is
done for real sockets and for connections in memory; used by all stand-ins.
"""

import asyncio
import contextlib
import socket
import struct

_LINGER_NONE = struct.pack("ii", 1, 0)
"""Socket option that discards unsent bytes: on, for 0 s."""


def reset(transport: asyncio.WriteTransport) -> None:
    """Reset a connection, so that its peer does not take it for an orderly end.

    Args:
        transport: Its own end; one in memory is aborted.
    """
    raw = transport.get_extra_info("socket")
    if raw is not None:
        # Silence is right: the option fails only on a socket that is already closed.
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    transport.abort()
