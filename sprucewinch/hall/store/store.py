"""Interface of the store: values with compare-and-swap, leases, watches and the list of VMs.

The module owns the interface and its result types, and relies on nothing. `http_store` implements
it; no other module knows the store's protocol.
"""

import abc
from typing import NamedTuple, Optional, Union


class Entry(NamedTuple):
    """A value held by the store.

    Args:
        key: Its key.
        version: Increases with every write to any key; never 0.
        value: Its bytes, at most 1 MB.
    """

    key: str
    version: int
    value: bytes


class Written(NamedTuple):
    """A write that took effect."""

    version: int


class VersionMismatch(NamedTuple):
    """A write that did not take effect: the key holds another version (0: no value)."""

    version: int


class VmListing(NamedTuple):
    """One row of the platform's list of live and leaving VMs; the list may be out of date.

    Args:
        kind: `entry` for an entry VM, `backend` for a backend server.
        address: The entry VM's peer address, or the backend server's address.
        leaving: True when it is about to stop.
    """

    kind: str
    address: str
    leaving: bool


class Store(abc.ABC):
    """A client of the store.

    Every method raises `PlatformError` when the store does not answer or refuses the call.
    """

    calls = 0
    """Calls made so far; the store limits their rate."""

    @abc.abstractmethod
    async def get(self, key: str) -> Optional[Entry]:
        """Return the entry of a key; None when there is none."""

    @abc.abstractmethod
    async def put(self, key: str, value: bytes, expected: int) -> Union[Written, VersionMismatch]:
        """Write a value if the key holds the expected version (0: no value yet).

        Raises:
            WriteUnknownError: When the answer was lost; the write may have taken effect.
        """

    @abc.abstractmethod
    async def watch(self, prefix: str, after: int, wait_s: float) -> list[Entry]:
        """Wait for entries under a prefix that are newer than a version.

        Args:
            prefix: Prefix of the keys.
            after: Version; 0 returns all entries at once.
            wait_s: Longest wait, in seconds.

        Returns:
            The newer entries; empty when the wait ended without any.
        """

    @abc.abstractmethod
    async def lease(self, name: str, holder: str, ttl_s: float) -> bool:
        """Acquire or renew a lease for `ttl_s` seconds; return whether the holder has it."""

    @abc.abstractmethod
    async def release(self, name: str, holder: str) -> None:
        """Release a holder's lease."""

    @abc.abstractmethod
    async def members(self) -> list[VmListing]:
        """Return the list of live and leaving VMs."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
