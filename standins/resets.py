"""Connection resets.

Closing a real socket ends its connection with a FIN, so a reset has to be requested explicitly.
This module does so for real sockets and for connections in memory; all stand-ins use it.
"""

import asyncio
import contextlib
import socket
import struct

_LINGER_NONE = struct.pack("ii", 1, 0)
"""`SO_LINGER` switched on with a time of 0 s: closing discards unsent bytes and sends a reset."""


def reset(transport: asyncio.WriteTransport) -> None:
    """Reset a connection, so that its peer sees an error instead of an end of stream.

    Args:
        transport: The local end; a connection in memory is only aborted.
    """
    raw = transport.get_extra_info("socket")
    if raw is not None:
        # The option fails only on a socket that is already closed, so the error is ignored.
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    transport.abort()
