"""Settings, nodes and an in-memory platform for tests of the own interface."""

import random
from collections.abc import Callable
from typing import Optional, Union

from sprucewinch.config.configuration import Configuration, Document
from sprucewinch.config.loading import encode_document, load_configuration
from sprucewinch.config.settings import Settings
from sprucewinch.errors import PlatformError, WriteUnknownError
from sprucewinch.hall.node import Node
from sprucewinch.hall.store.documents import CONFIGURATION_KEY, Revisioned
from sprucewinch.hall.store.store import Entry, Store, VersionMismatch, VmListing, Written

EXAMPLE_PATH = "examples/freight.toml"


def example() -> Configuration:
    """Return the configuration of the example deployment."""
    from pathlib import Path

    return load_configuration(Path(EXAMPLE_PATH))


def settings(vm: str = "a", hall: str = "van-1", region: str = "lower-mainland") -> Settings:
    """Return settings of a daemon, with fixed addresses."""
    return Settings(
        vm=vm,
        hall=hall,
        region=region,
        caller_address="127.0.0.1:7001",
        peer_address="127.0.0.1:7002",
        operators_address="127.0.0.1:7003",
        operators_token="0123456789abcdef",
        platform_address="127.0.0.1:7004",
    )


def node(now: float = 0.0, incarnation: int = 1, **place: str) -> Node:
    """Return the node of a daemon: its state and decisions, without sockets or store.

    Args:
        now: Time at which it starts, in seconds.
        incarnation: Incarnation of its process.
        **place: Arguments of `settings`.
    """
    return Node(
        settings(**place),
        incarnation=incarnation,
        ticket_key=b"k" * 32,
        rng=random.Random(1),
        now=now,
    )


def configure(target: Node, document: Optional[Document] = None) -> None:
    """Put a document in force at a node; by default revision 1 with the example configuration."""
    held = document or Document(1, example())
    value = encode_document(held)
    assert target.documents.offer(Revisioned(CONFIGURATION_KEY, held.revision, value))


def run(target: Node, begin: float, end: float, step: float = 0.5) -> None:
    """Tick a node from one time to another, both included; all in seconds."""
    now = begin
    while now <= end:
        target.tick(now)
        now += step


class FakeStore(Store):
    """The platform's key-value service in memory.

    Attributes:
        down: Makes all calls but `close` fail with `PlatformError`.
        lose_next_answer: Makes the next `put` write its value and then fail with
            `WriteUnknownError`, as when the answer is lost.
        before_put: Called once before the next `put` compares versions, for a concurrent write.
    """

    def __init__(self) -> None:
        self.version = 0
        self.values: dict[str, Entry] = {}
        self.down = False
        self.lose_next_answer = False
        self.before_put: Optional[Callable[[], None]] = None

    def write(self, key: str, value: bytes) -> Entry:
        """Write a value as another client would, without a check of its version."""
        self.version += 1
        self.values[key] = Entry(key, self.version, value)
        return self.values[key]

    def _check(self) -> None:
        if self.down:
            raise PlatformError("down", "wait")

    async def get(self, key: str) -> Optional[Entry]:
        self._check()
        return self.values.get(key)

    async def put(self, key: str, value: bytes, expected: int) -> Union[Written, VersionMismatch]:
        self._check()
        if self.before_put is not None:
            hook, self.before_put = self.before_put, None
            hook()
        held = self.values.get(key)
        version = held.version if held else 0
        if version != expected:
            return VersionMismatch(version)
        entry = self.write(key, value)
        if self.lose_next_answer:
            self.lose_next_answer = False
            raise WriteUnknownError("lost", "read back")
        return Written(entry.version)

    async def watch(self, prefix: str, after: int, wait_s: float) -> list[Entry]:
        self._check()
        found = (e for e in self.values.values() if e.key.startswith(prefix))
        return [e for e in found if e.version > after]

    async def lease(self, name: str, holder: str, ttl_s: float) -> bool:
        self._check()
        return True

    async def release(self, name: str, holder: str) -> None:
        self._check()

    async def members(self) -> list[VmListing]:
        self._check()
        return []

    async def close(self) -> None:
        return None
