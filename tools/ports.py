"""Ports and loopback addresses for programs that are about to start and listen.

Owns the choice. Programs that listen on a fixed port, as an entry VM does for its metrics, get a
loopback address of their own: a claim is a port of that address which the claiming process holds,
so that two runs on one machine never have the same one, whatever they start later. Ports come from
below the range out of which the system gives clients their own ports, so that no connection takes
one between the choice and the start, and one process gives no port twice until it has given all, so
that two parts of a fleet never get the same one. Relies on the sockets of the standard library.
"""

import contextlib
import itertools
import random
import socket
from collections.abc import Iterator

FIRST_PORT = 10_000
"""Lowest port that is given: above those of well-known services."""

LAST_PORT = 32_000
"""End of the range, itself not given: Linux gives clients ports from 32768 on by default."""

_SPAN = LAST_PORT - FIRST_PORT
_turns = itertools.count(random.SystemRandom().randrange(_SPAN))

CLAIM_PORT = 9463
"""Port that a claim of a loopback address holds; below the ports that are given, so never given."""

_FIRST_NETWORK = 64
"""Lowest second number of claimed addresses; what is written out by hand uses the lower ones."""

_NETWORKS = 128
"""Second numbers of claimed addresses. Any figure does that stays within 127.0.0.0/8."""

_PARTS = 254
"""Third and fourth numbers of an address that a host may have: 1 to 254."""

_ADDRESSES = _NETWORKS * _PARTS * _PARTS
_MOST_TRIES = 5000
"""Addresses looked at for a claim, more than one machine bears VMs. A guess, never measured."""

RUN_START = random.SystemRandom().randrange(_ADDRESSES)
"""Number of the address at which this process begins to look for free ones."""


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


@contextlib.contextmanager
def claimed_address(port: int, start: int = RUN_START) -> Iterator[str]:
    """Give a loopback address that nobody else is given until the context ends.

    Args:
        port: Port that must be free on it.
        start: Number of the address at which to begin to look.

    Raises:
        OSError: When none is free.
    """
    for turn in range(start, start + _MOST_TRIES):
        ip = _address(turn % _ADDRESSES)
        with socket.socket() as claim:
            try:
                claim.bind((ip, CLAIM_PORT))
            except OSError:
                continue  # another run has it, which is the answer
            if _is_free(ip, port):
                yield ip
                return
    raise OSError(f"no loopback address with a free port {port}; end programs that hold it")


def _address(number: int) -> str:
    rest, last = divmod(number, _PARTS)
    network, third = divmod(rest, _PARTS)
    return f"127.{_FIRST_NETWORK + network}.{third + 1}.{last + 1}"


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False  # somebody holds it, which is the answer
    return True
