"""The consortium's metadata store in memory, with faults on demand.

The store behaves as the platform documents: one revision counter, paginated listings, long-polling
watches, conditional transactions and leases. It can fail in the documented ways: unavailable, slow,
answers lost or writes applied late, compacted history, single clients refused, and a return from an
older copy, by which it loses what it has acknowledged since.
"""

import asyncio
import base64
import enum
from typing import Any, NamedTuple, Optional
from urllib.parse import parse_qsl

import httptools
import msgspec

from .resets import reset

PAGE = 500
"""Maximum number of items in one page of a listing, as the platform documents."""

LATE_S = 2.0
"""Seconds by which a write is delayed under `Fault.LATE`."""

_LEASE_PATH = "/sprucewinch/kv-lease"
_LEASE_RENEW_PREFIX = "/sprucewinch/kv-keep/"
_LEASE_END_PREFIX = "/sprucewinch/kv-lease-end/"
_MS_PER_S = 1000

_RESPONSE_TIME_S = 0.004
"""Response time of one call without a fault, in seconds."""


class Fault(enum.Enum):
    """Fault that the store shows its clients."""

    NONE = "none"
    BUSY = "503 to all"
    MANY = "429 to all"
    RESET = "connections are reset"
    SILENT = "nothing is answered"
    LOST = "writes are done and not answered"
    LATE = "writes are not answered, and done seconds later if their condition still holds"
    DEAF = "watches hear nothing, all else works"


class Lease:
    """A lease that expires unless it is renewed.

    Args:
        ttl_s: Time to live from the grant or the last renewal, in seconds.
        timer: Revokes the lease when it expires.
    """

    __slots__ = ("timer", "ttl_s")

    def __init__(self, ttl_s: float, timer: asyncio.TimerHandle) -> None:
        self.ttl_s = ttl_s
        self.timer = timer


class StoreCopy(NamedTuple):
    """State of the store at one time.

    Args:
        revision: Its revision.
        items: Its items by key.
        events: Its event history.
    """

    revision: int
    items: dict[str, dict[str, Any]]
    events: list[dict[str, Any]]


class StoreStandIn:
    """The store: its items, history, leases and faults.

    Args:
        loop: Event loop, virtual or real.
        page: Maximum number of items in one page of a listing.

    Attributes:
        items: Items by key, with the revision that created each and its lease.
        events: Event history since `compacted_revision`.
        compacted_revision: Watches after an earlier revision get status 410.
        slow_s: Additional response time of every call, in seconds.
        fault: Fault of the whole store.
        faults_by_machine: Faults of single clients, which take precedence.
        calls: Path and query of every call.
        era: Number that every answer states; rises with each return from a copy.
        states_era: False when answers state none.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, *, page: int = PAGE) -> None:
        self.loop = loop
        self.page = page
        self.revision = 0
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.compacted_revision = 0
        self.slow_s = 0.0
        self.fault = Fault.NONE
        self.faults_by_machine: dict[str, Fault] = {}
        self.calls: list[tuple[str, dict[str, str]]] = []
        self.leases: dict[int, Lease] = {}
        self.changed = asyncio.Event()
        self.era = 0
        self.states_era = True

    def accept(self, machine: str = "") -> asyncio.Protocol:
        """Return the protocol of one connection, for a listener of the loop.

        Args:
            machine: Name of the client, by which `faults_by_machine` gives it a fault of its own.
        """
        return _StoreConnection(self, machine)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a value, as an operator or a backend server would, and return its revision."""
        return self.put_encoded(key, base64.b64encode(value).decode(), lease)

    def put_encoded(self, key: str, text: str, lease: int = 0) -> int:
        """Write a value that is in base64; see `put`."""
        self.revision += 1
        made = self.items.get(key, {"made": self.revision})["made"]
        item = {
            "TlsKey": key,
            "Value": text,
            "Revision": self.revision,
            "made": made,
            "lease": lease,
        }
        self.items[key] = item
        self._append_event(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key, if it is there; a return from a copy may have removed it."""
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self._append_event({"TlsKey": key, "Revision": self.revision, "gone": True})

    def revoke(self, number: int) -> None:
        """End a lease and remove the keys that are attached to it."""
        lease = self.leases.pop(number, None)
        if lease is not None:
            lease.timer.cancel()
        for key in [k for k, item in self.items.items() if number and item["lease"] == number]:
            self.remove(key)

    def forget(self) -> None:
        """Drop the event history; waiting watches are answered with status 410."""
        self.compacted_revision = self.revision
        self.events = []
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Return a copy of the items and their history."""
        return StoreCopy(self.revision, dict(self.items), list(self.events))

    def return_from(self, copy: StoreCopy) -> None:
        """Return with a copy: all changes since are lost, and their revisions are given out again.

        Leases are gone; a watch from a revision that the store does not have gets status 410.
        """
        for lease in self.leases.values():
            lease.timer.cancel()
        self.leases = {}
        self.era += 1
        self.revision = copy.revision
        self.items, self.events = dict(copy.items), list(copy.events)
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self._notify_watches()

    def _append_event(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def fault_of(self, machine: str) -> Fault:
        """Return the fault in force for a client: its own, or that of the whole store."""
        return self.faults_by_machine.get(machine, self.fault)

    async def answer(
        self, machine: str, method: str, path: str, query: dict[str, str], body: bytes
    ) -> Any:
        """Return the status and body of a call, or None if it gets no answer."""
        self.calls.append((path, query))
        await asyncio.sleep(_RESPONSE_TIME_S + self.slow_s)
        fault = self.fault_of(machine)
        if fault in (Fault.SILENT, Fault.RESET):
            return None
        if fault in (Fault.BUSY, Fault.MANY):
            return (503 if fault is Fault.BUSY else 429), {}
        if path == "/sprucewinch/kv-range":
            return 200, self._range(query)
        if path == "/sprucewinch/kv-watch":
            return await self._watch(query)
        if path == "/sprucewinch/kv-key" and query.get("TlsKey") in self.items:
            return 200, {**self.items[query["TlsKey"]], "at": self.revision}
        return (404, {}) if method == "GET" else self._write(fault, path, body)

    def _write(self, fault: Fault, path: str, body: bytes) -> Any:
        if fault is Fault.LATE:
            self.loop.call_later(LATE_S, self._apply, path, body)
            return None
        answer = self._apply(path, body)
        return None if fault is Fault.LOST else answer

    def _apply(self, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        if path == "/sprucewinch/kv-txn":
            return self._transact(msgspec.json.decode(body))
        if path == _LEASE_PATH:
            return self._grant(msgspec.json.decode(body)["ttl"])
        if path.startswith(_LEASE_RENEW_PREFIX):
            return self._renew(int(path.removeprefix(_LEASE_RENEW_PREFIX)))
        if path.startswith(_LEASE_END_PREFIX):
            self.revoke(int(path.removeprefix(_LEASE_END_PREFIX)))
            return 200, {}
        return 404, {}

    def _grant(self, ttl: str) -> tuple[int, dict[str, Any]]:
        self.revision += 1
        number = self.revision
        ttl_s = float(ttl.removesuffix("ms")) / _MS_PER_S
        timer = self.loop.call_later(ttl_s, self.revoke, number)
        self.leases[number] = Lease(ttl_s, timer)
        return 200, {"lease": number, "ttl": ttl}

    def _renew(self, number: int) -> tuple[int, dict[str, Any]]:
        lease = self.leases.get(number)
        if lease is None:
            return 404, {}
        lease.timer.cancel()
        lease.timer = self.loop.call_later(lease.ttl_s, self.revoke, number)
        return 200, {"ttl": f"{lease.ttl_s * _MS_PER_S:g}ms"}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("PathPrefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[: self.page]]
        return {"items": items, "more": len(keys) > self.page, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> Any:
        prefix, after = query.get("PathPrefix", ""), int(query["after"])
        end = self.loop.time() + int(query["WaitMs"]) / _MS_PER_S
        while True:
            if after < self.compacted_revision or after > self.revision:
                return 410, {}
            found = [
                e for e in self.events if e["Revision"] > after and e["TlsKey"].startswith(prefix)
            ]
            left = end - self.loop.time()
            if (found and self.fault is not Fault.DEAF) or left <= 0:
                return 200, {"events": found, "at": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body["ExpectedRevision"]:
            held = self.items.get(row["TlsKey"])
            if (held["Revision"] if held else 0) != row["Revision"]:
                return 412, {"items": [held] if held else []}
        if any(row["lease"] and row["lease"] not in self.leases for row in body["put"]):
            return 404, {}
        for row in body["put"]:
            self.put(row["TlsKey"], base64.b64decode(row["Value"]), row["lease"])
        for key in body["Remove"]:
            if key in self.items:
                self.remove(key)
        return 200, {"Revision": self.revision}


class _StoreConnection(asyncio.Protocol):
    """Server side of one HTTP connection to the store."""

    def __init__(self, store: StoreStandIn, machine: str) -> None:
        self.store = store
        self.machine = machine
        self.parser = httptools.HttpRequestParser(self)
        self.transport: Optional[asyncio.Transport] = None
        self.url = b""
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        path, _, query = self.url.decode().partition("?")
        method, body = self.parser.get_method().decode(), self.body
        self.url = self.body = b""
        self.store.loop.create_task(self._answer(method, path, dict(parse_qsl(query)), body))

    async def _answer(self, method: str, path: str, query: dict[str, str], body: bytes) -> None:
        assert self.transport is not None
        answer = await self.store.answer(self.machine, method, path, query, body)
        if answer is None:
            if self.store.fault_of(self.machine) is not Fault.SILENT:
                reset(self.transport)
            return
        status, table = answer
        data = msgspec.json.encode(table)
        era = f"Store-Era: {self.store.era}\r\n" if self.store.states_era else ""
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n{era}\r\n"
        self.transport.write(head.encode() + data)
