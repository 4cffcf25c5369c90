"""Tests that the store's stand-in keeps to the consortium's pages: leases, conditions, history."""

import asyncio
import base64
import unittest
from typing import Any

import msgspec

from standins.consortium_store import StoreStandIn
from standins.virtual import VirtualLoop, pass_time, run_virtual


def _text(value: bytes) -> str:
    return base64.b64encode(value).decode()


class Client:
    """Calls the stand-in directly, without a network."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.store = StoreStandIn(loop)

    async def post(self, path: str, table: Any = None) -> tuple[int, dict[str, Any]]:
        body = msgspec.json.encode(table) if table is not None else b""
        return await self.store.answer("", "POST", f"/sprucewinch/{path}", {}, body)

    async def write(self, key: str, *, expected: int | None = None, lease: int = 0) -> int:
        """Write a key and return the HTTP status."""
        rows = [] if expected is None else [{"TlsKey": key, "Revision": expected}]
        put = [{"TlsKey": key, "Value": _text(b"x"), "lease": lease}]
        table = {"ExpectedRevision": rows, "put": put, "Remove": []}
        return (await self.post("kv-txn", table))[0]

    async def watch(self, after: int, wait_ms: int) -> tuple[int, dict[str, Any]]:
        query = {"PathPrefix": "", "after": str(after), "WaitMs": str(wait_ms)}
        return await self.store.answer("", "GET", "/sprucewinch/kv-watch", query, b"")


class Pages(unittest.TestCase):
    def test_a_change_happens_only_under_its_condition(self) -> None:
        async def main(loop: VirtualLoop) -> list[int]:
            client = Client(loop)
            first = await client.write("k", expected=0)
            again = await client.write("k", expected=0)
            held = client.store.items["k"]["Revision"]
            return [first, again, await client.write("k", expected=held)]

        self.assertEqual(run_virtual(main), [200, 412, 200])

    def test_keys_go_with_their_lease_and_stay_while_it_is_renewed(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            client = Client(loop)
            _, granted = await client.post("kv-lease", {"ttl": "2000ms"})
            lease = granted["lease"]
            self.assertEqual(await client.write("k", lease=lease), 200)
            for _ in range(3):
                await pass_time(1.5)
                self.assertEqual((await client.post(f"kv-keep/{lease}"))[0], 200)
            self.assertIn("k", client.store.items)
            await pass_time(2.5)
            self.assertNotIn("k", client.store.items)
            self.assertEqual((await client.post(f"kv-keep/{lease}"))[0], 404)
            self.assertEqual(await client.write("k", lease=lease), 404)

        run_virtual(main)

    def test_a_lease_that_is_ended_takes_its_keys_at_once(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            client = Client(loop)
            _, granted = await client.post("kv-lease", {"ttl": "9000ms"})
            await client.write("k", lease=granted["lease"])
            await client.post(f"kv-lease-end/{granted['lease']}")
            self.assertNotIn("k", client.store.items)

        run_virtual(main)

    def test_a_watch_waits_tells_removals_and_knows_when_history_is_gone(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            client = Client(loop)
            at = client.store.put("k", b"x")
            waiting = asyncio.ensure_future(client.watch(at, 5000))
            await pass_time(1.0)
            self.assertFalse(waiting.done())
            client.store.remove("k")
            status, table = await waiting
            self.assertEqual((status, table["events"][0]["gone"]), (200, True))
            client.store.forget()
            self.assertEqual((await client.watch(at, 10))[0], 410)
            started = loop.time()
            status, table = await client.watch(client.store.revision, 2000)
            self.assertEqual((status, table["events"]), (200, []))
            self.assertGreaterEqual(loop.time() - started, 2.0)

        run_virtual(main)
