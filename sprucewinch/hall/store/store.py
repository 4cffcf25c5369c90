"""Interface of the store: values with compare-and-swap, leases, watches, the list of VMs.

Owns the interface and its result types. Relies on nothing; `http_store` implements it, and no other
module knows the store's protocol.
"""

import abc
from typing import NamedTuple, Optional, Union


class Entry(NamedTuple):
    """A value held by the platform.

    Args:
        key: Its key.
        version: Grows with every write to any key; never 0.
        value: Its bytes, at most 1 MB.
    """

    key: str
    version: int
    value: bytes


class Written(NamedTuple):
    """A write that took effect."""

    version: int


class Mismatch(NamedTuple):
    """A write that did not take effect, since the key holds another version (0: none)."""

    version: int


class VmListing(NamedTuple):
    """One row of the platform's list of live and leaving VMs; the list lags behind.

    Args:
        kind: `entry` for an entry VM, `backend` for a backend server.
        address: Its peer address, or a backend server's address.
        leaving: True when it is about to go away.
    """

    kind: str
    address: str
    leaving: bool


class Platform(abc.ABC):
    """A client of the platform's service.

    Every method raises `PlatformError` when the service does not answer or refuses the call.
    """

    calls = 0
    """Calls made so far; the service limits their rate."""

    @abc.abstractmethod
    async def get(self, key: str) -> Optional[Entry]:
        """Return the entry of a key; None when there is none."""

    @abc.abstractmethod
    async def put(self, key: str, value: bytes, expected: int) -> Union[Written, Mismatch]:
        """Write a value if the key holds the expected version (0: no value).

        Raises:
            WriteUnknownError: When the answer was lost; the write may have taken effect.
        """

    @abc.abstractmethod
    async def watch(self, prefix: str, after: int, wait_s: float) -> list[Entry]:
        """Wait for entries under a prefix that are newer than a version.

        Args:
            prefix: Start of the keys.
            after: Version; 0 for all entries, at once.
            wait_s: Longest wait, in seconds.

        Returns:
            The newer entries; none when the wait ended.
        """

    @abc.abstractmethod
    async def lease(self, name: str, holder: str, ttl_s: float) -> bool:
        """Take or renew a lease; returns True while the holder has it."""

    @abc.abstractmethod
    async def release(self, name: str, holder: str) -> None:
        """Release a lease."""

    @abc.abstractmethod
    async def members(self) -> list[VmListing]:
        """Return the list of live and leaving VMs."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
