"""Ports and loopback addresses for programs that are about to start and listen.

A program that listens on a fixed port, as an entry VM does for its metrics, needs a loopback
address of its own. The calling process claims the address by binding `CLAIM_PORT` on it, so that
two runs on one machine never use the same one, whatever they start later. Ports are chosen below
the ephemeral range, from which the system gives client connections their local ports, so that no
connection takes a port between its choice and the start of the program. One process hands out no
port twice until it has gone through the whole range, so two parts of a fleet never get the same
one. This module relies on the sockets of the standard library.
"""

import contextlib
import itertools
import random
import socket
from collections.abc import Iterator

FIRST_PORT = 10_000
"""Lowest port that is handed out, above those of well-known services."""

LAST_PORT = 32_000
"""End of the range, exclusive; the ephemeral range of Linux starts at 32768 by default."""

_PORT_COUNT = LAST_PORT - FIRST_PORT
_port_offsets = itertools.count(random.SystemRandom().randrange(_PORT_COUNT))

CLAIM_PORT = 9463
"""Port that claims a loopback address; below `FIRST_PORT`, so `free_ports` never returns it."""

_FIRST_SECOND_OCTET = 64
"""Lowest second octet of claimed addresses; addresses written out in code use lower ones."""

_SECOND_OCTET_COUNT = 128
"""Number of second octets in use. Any value does that stays within 127.0.0.0/8."""

_HOST_OCTET_COUNT = 254
"""Values that the third and the fourth octet may take: 1 to 254."""

_ADDRESS_COUNT = _SECOND_OCTET_COUNT * _HOST_OCTET_COUNT * _HOST_OCTET_COUNT
_MAX_CLAIM_ATTEMPTS = 5000
"""Addresses tried for one claim; one machine cannot run as many VMs."""

RUN_START = random.SystemRandom().randrange(_ADDRESS_COUNT)
"""Index of the address at which this process starts its search for a free one."""


def free_ports(count: int, ip: str = "127.0.0.1") -> list[int]:
    """Return distinct ports that no program is bound to now.

    Args:
        count: Number of ports.
        ip: Loopback address to listen on.

    Raises:
        OSError: When fewer ports are free.
    """
    found: list[int] = []
    for offset in itertools.islice(_port_offsets, _PORT_COUNT):
        port = FIRST_PORT + offset % _PORT_COUNT
        if _is_free(ip, port):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError(
        f"{ip}: found {len(found)} of {count} free ports; end programs that hold ports "
        f"from {FIRST_PORT} to {LAST_PORT - 1}"
    )


@contextlib.contextmanager
def claimed_address(port: int, start: int = RUN_START) -> Iterator[str]:
    """Claim a loopback address that no other caller gets until the context ends.

    Args:
        port: Port that must be free on the address.
        start: Index of the address at which the search starts.

    Raises:
        OSError: When no address is free.
    """
    for index in range(start, start + _MAX_CLAIM_ATTEMPTS):
        ip = _loopback_address(index % _ADDRESS_COUNT)
        with socket.socket() as claim_socket:
            try:
                claim_socket.bind((ip, CLAIM_PORT))
            except OSError:
                continue  # another run has claimed this address
            if _is_free(ip, port):
                yield ip
                return
    raise OSError(
        f"found no unclaimed loopback address with a free port {port} in {_MAX_CLAIM_ATTEMPTS} "
        "attempts; end programs that hold this port"
    )


def _loopback_address(index: int) -> str:
    rest, fourth = divmod(index, _HOST_OCTET_COUNT)
    second, third = divmod(rest, _HOST_OCTET_COUNT)
    return f"127.{_FIRST_SECOND_OCTET + second}.{third + 1}.{fourth + 1}"


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False  # another program holds the port
    return True
