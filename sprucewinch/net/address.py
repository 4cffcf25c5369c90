"""Parses addresses of the form `IP:PORT`.

Owns this form in settings, in the store and on the wire, and its check. Host names are rejected:
VMs reach each other by IP address, and resolving a name could block.
"""

import ipaddress
from typing import NamedTuple

_MAX_PORT = 65_535
"""Highest TCP port: a port has 16 bits (RFC 9293)."""


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse `IP:PORT`.

    Args:
        text: For example `127.0.0.1:7000` or `[::1]:7000`.

    Returns:
        The address.

    Raises:
        ValueError: When the host is not an IP address, or the port is not in 1..65535.
    """
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= _MAX_PORT):
        raise ValueError(f"expected a port from 1 to {_MAX_PORT}, found {port!r}")
    return Address(host, int(port))


def is_address(text: str) -> bool:
    """Return whether a text is `IP:PORT`."""
    # The error is not lost: callers report the text with the name of its field.
    try:
        parse_address(text)
    except ValueError:
        return False
    return True
