"""Ports for programs that are about to start and listen.

Owns the choice. Ports come from below the range out of which the system gives clients their own
ports, so that no connection takes one between the choice and the start, and one process gives no
port twice until it has given all, so that two parts of a fleet never get the same one. Relies on
the sockets of the standard library.
"""

import itertools
import random
import socket

FIRST_PORT = 10_000
"""Lowest port that is given: above those of well-known services."""

LAST_PORT = 32_000
"""End of the range, itself not given: Linux gives clients ports from 32768 on by default."""

_SPAN = LAST_PORT - FIRST_PORT
_turns = itertools.count(random.SystemRandom().randrange(_SPAN))


def free_ports(count: int, ip: str = "127.0.0.1") -> list[int]:
    """Return different ports that nobody listens on now.

    Args:
        count: How many.
        ip: Loopback address to listen on.

    Raises:
        OSError: When there are not that many.
    """
    found: list[int] = []
    for turn in itertools.islice(_turns, _SPAN):
        port = FIRST_PORT + turn % _SPAN
        if _is_free(ip, port):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError(f"{ip}: fewer than {count} free ports; end programs that hold them")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False  # somebody holds it, which is the answer
    return True
