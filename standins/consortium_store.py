"""The consortium's metadata store in memory, with faults on demand.

It follows the consortium's pages: one counter of revisions, listings in pages, watches that wait,
changes under conditions, leases, and the ways in which it fails: down, slow, lost and late
answers, forgotten history, machines that are turned away.
"""

import asyncio
import base64
import enum
from typing import Any, Optional
from urllib.parse import parse_qsl

import httptools
import msgspec

PAGE = 500


class Fault(enum.Enum):
    """What is wrong with the store."""

    NONE = "none"
    BUSY = "503 to all"
    MANY = "429 to all"
    RESET = "connections are reset"
    SILENT = "nothing is answered"
    LOST = "writes are done and not answered"
    DEAF = "watches hear nothing, all else works"


class StoreStandIn:
    """The store.

    Args:
        loop: The loop, virtual or real.
        page: Most items of one page.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, *, page: int = PAGE) -> None:
        self.loop = loop
        self.page = page
        self.revision = 0
        self.items: dict[str, dict[str, Any]] = {}
        self.events: list[dict[str, Any]] = []
        self.floor = 0
        self.slow_s = 0.0
        self.fault = Fault.NONE
        self.faults_by_machine: dict[str, Fault] = {}
        self.calls: list[tuple[str, dict[str, str]]] = []
        self.changed = asyncio.Event()

    def accept(self, machine: str = "") -> asyncio.Protocol:
        """Return the protocol of one connection, for a listener of the loop.

        Args:
            machine: Name under which its calls meet faults of their own.
        """
        return _Call(self, machine)

    def put(self, key: str, value: bytes) -> int:
        """Write a value as the operator or a backend server would; returns its revision."""
        self.revision += 1
        made = self.items.get(key, {"made": self.revision})["made"]
        text = base64.b64encode(value).decode()
        item = {"TlsKey": key, "Value": text, "Revision": self.revision, "made": made, "lease": 0}
        self.items[key] = item
        self._tell(item)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.items[key]
        self._tell({"TlsKey": key, "Revision": self.revision, "gone": True})

    def forget(self) -> None:
        """Drop the history; watches that wait are cut with 410."""
        self.floor = self.revision
        self.events = []
        self._wake()

    def _tell(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def fault_of(self, machine: str) -> Fault:
        """Return what is wrong for a machine's calls."""
        return self.faults_by_machine.get(machine, self.fault)

    async def answer(
        self, machine: str, method: str, path: str, query: dict[str, str], body: bytes
    ) -> Any:
        """Return status and body of a call, or None for none."""
        self.calls.append((path, query))
        await asyncio.sleep(0.004 + self.slow_s)
        fault = self.fault_of(machine)
        if fault in (Fault.SILENT, Fault.RESET):
            return None
        if fault in (Fault.BUSY, Fault.MANY):
            return (503 if fault is Fault.BUSY else 429), {}
        if path == "/sprucewinch/kv-range":
            return 200, self._range(query)
        if path == "/sprucewinch/kv-watch":
            return await self._watch(query)
        if path == "/sprucewinch/kv-txn" and method == "POST":
            answer = self._change(msgspec.json.decode(body))
            return None if self.fault is Fault.LOST else answer
        return 404, {}

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("PathPrefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in keys[: self.page]]
        return {"items": items, "more": len(keys) > self.page, "at": self.revision}

    async def _watch(self, query: dict[str, str]) -> Any:
        prefix, after = query.get("PathPrefix", ""), int(query["after"])
        end = self.loop.time() + int(query["WaitMs"]) / 1000
        while True:
            if after < self.floor:
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

    def _change(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in body["ExpectedRevision"]:
            held = self.items.get(row["TlsKey"])
            if (held["Revision"] if held else 0) != row["Revision"]:
                return 412, {"items": [held] if held else []}
        for row in body["put"]:
            self.put(row["TlsKey"], base64.b64decode(row["Value"]))
        for key in body["Remove"]:
            if key in self.items:
                self.remove(key)
        return 200, {"Revision": self.revision}


class _Call(asyncio.Protocol):
    """One connection at the store."""

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
                self.transport.abort()
            return
        status, table = answer
        data = msgspec.json.encode(table)
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n"
        self.transport.write(head.encode() + data)
