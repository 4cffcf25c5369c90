"""Deltas and large items between VMs: their encoding, the app that serves them, the calls.

Truncated or malformed responses and those of other versions raise a typed error whose message names
the remedy. A VM of the first release, which states no size, gets everything in that release's
encoding.
"""

import asyncio
import random
import tracemalloc
import unittest
import zlib
from typing import Any
from unittest.mock import patch
from urllib.parse import urlencode

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway import internal_apps
from sprucewinch.gateway.following import deltas
from sprucewinch.gateway.following.deltas import (
    DELTA_PATH,
    ITEM_PATH,
    MAX_INLINE_VALUE_BYTES,
    DeltaUnavailableError,
    ItemNotHeldError,
    decode_delta,
    decode_item,
    encode_delta,
    encode_item,
    fetch_delta,
    fetch_item,
)
from sprucewinch.gateway.internal_apps import DeltaApp, EncodedItems
from sprucewinch.gateway.state.replica import DeferredItem, Delta, Item, Removal
from sprucewinch.gateway.state.store_view import StoreView

from .gateway_fakes import ResourceTableDecoder
from .test_gateway_peer_follower import Peer

_ITEM = Item("op/config", b"routes " * 5000, 7)
_ODD = Item("op/a b&c", b"odd", 12)
_NAMED = DeferredItem("op/config", 7, 35_000)

_NUMBERS = st.integers(0, 2**63)
_ITEMS = st.builds(Item, st.text(max_size=9), st.binary(max_size=99), _NUMBERS)
_REMOVALS = st.builds(Removal, st.text(max_size=9), _NUMBERS)
_DEFERRED = st.builds(DeferredItem, st.text(max_size=9), _NUMBERS, _NUMBERS)


def _tuples(entries: st.SearchStrategy) -> st.SearchStrategy:
    return st.lists(entries, max_size=4).map(tuple)


_DELTAS = st.builds(
    Delta, _tuples(_ITEMS), _tuples(_REMOVALS), _NUMBERS, st.booleans(), _tuples(_DEFERRED)
)


class ItemsOnTheWire(unittest.TestCase):
    @given(_ITEMS)
    def test_an_item_survives_encoding(self, item) -> None:
        self.assertEqual(decode_item(encode_item(item)), item)

    def test_it_is_compressed(self) -> None:
        self.assertLess(len(encode_item(_ITEM)), len(_ITEM.value) // 20)
        self.assertEqual(msgspec.msgpack.decode(zlib.decompress(encode_item(_ITEM))), [*_ITEM])

    @given(_ITEMS, st.data())
    def test_a_truncated_item_is_an_error(self, item, data) -> None:
        whole = encode_item(item)
        cut = data.draw(st.integers(0, len(whole) - 1))
        with self.assertRaises(zlib.error):
            decode_item(whole[:cut])

    @given(st.binary(max_size=99))
    def test_garbage_is_an_error(self, data) -> None:
        with self.assertRaises((zlib.error, msgspec.MsgspecError)):
            decode_item(data)

    @given(st.binary(max_size=99))
    def test_compressed_garbage_is_an_error(self, data) -> None:
        with self.assertRaises(msgspec.MsgspecError):
            decode_item(zlib.compress(b"\xc1" + data))

    def test_other_values_than_an_item_are_an_error(self) -> None:
        for value in (["k", b"v"], ["k", b"v", "7"], [1, b"v", 7], {}, None):
            with self.subTest(value=value), self.assertRaises(msgspec.MsgspecError):
                decode_item(zlib.compress(msgspec.msgpack.encode(value)))

    def test_one_that_is_too_long_is_an_error(self) -> None:
        with patch.object(deltas, "_MAX_ITEM_BYTES", 1000):
            self.assertEqual(decode_item(encode_item(Item("k", b"x" * 900, 1))).revision, 1)
            with self.assertRaisesRegex(zlib.error, "over 1000 bytes"):
                decode_item(encode_item(Item("k", b"x" * 1001, 1)))

    def test_one_that_is_too_long_takes_no_memory_beyond_the_limit(self) -> None:
        data = zlib.compress(bytes(20_000_000))
        with patch.object(deltas, "_MAX_ITEM_BYTES", 1_000_000):
            tracemalloc.start()
            with self.assertRaises(zlib.error):
                decode_item(data)
            _, most_bytes = tracemalloc.get_traced_memory()
            tracemalloc.stop()
        self.assertLess(most_bytes, 4_000_000)


class DeltasOnTheWire(unittest.TestCase):
    @given(_DELTAS)
    def test_a_delta_survives_encoding(self, delta) -> None:
        self.assertEqual(decode_delta(encode_delta(delta)), delta)

    @given(_DELTAS)
    def test_it_has_a_fifth_field_only_when_items_are_deferred(self, delta) -> None:
        fields = msgspec.msgpack.decode(encode_delta(delta))
        self.assertEqual(len(fields), 5 if delta.deferred else 4)

    def test_the_bytes_with_deferred_items(self) -> None:
        delta = Delta((Item("a", b"v", 3),), (Removal("b", 4),), 9, False, (_NAMED,))
        data = (
            b"\x95\x91\x93\xa1a\xc4\x01v\x03\x91\x92\xa1b\x04\x09\xc2"
            b"\x91\x93\xa9op/config\x07\xcd\x88\xb8"
        )
        self.assertEqual(encode_delta(delta), data)
        self.assertEqual(decode_delta(data), delta)

    def test_the_bytes_without_deferred_items_are_those_of_the_first_release(self) -> None:
        delta = Delta((Item("a", b"v", 3),), (Removal("b", 4),), 9)
        data = b"\x94\x91\x93\xa1a\xc4\x01v\x03\x91\x92\xa1b\x04\x09\xc2"
        self.assertEqual(encode_delta(delta), data)
        self.assertEqual(decode_delta(data), delta)

    @given(st.binary(max_size=99))
    def test_garbage_is_an_error(self, data) -> None:
        with self.assertRaises(msgspec.MsgspecError):
            decode_delta(b"\xc1" + data)


async def _receive() -> dict[str, Any]:
    raise AssertionError("the app reads no body")


class Answers(unittest.IsolatedAsyncioTestCase):
    """The app of a VM that holds a large item at revision 7, a small item and a removal."""

    def setUp(self) -> None:
        store_view = StoreView(ResourceTableDecoder())
        small = Item("servers/a", b"a", 8)
        store_view.apply(Delta((_ITEM, small), (Removal("servers/b", 9),), 9), 0.0)
        self.app = DeltaApp(store_view)
        self.small = small

    async def _get(self, path: str, query: str) -> tuple[int, bytes]:
        sent: list[dict[str, Any]] = []

        async def send(message: dict[str, Any]) -> None:
            sent.append(message)

        scope = {"type": "http", "path": path, "query_string": query.encode()}
        await self.app(scope, _receive, send)
        start, body = sent
        length = dict(start["headers"])[b"content-length"]
        self.assertEqual(int(length), len(body["body"]))
        return start["status"], body["body"]

    async def _item(self, **query: Any) -> tuple[int, bytes]:
        return await self._get(ITEM_PATH, urlencode(query))

    async def _delta(self, **query: Any) -> tuple[int, bytes]:
        return await self._get(DELTA_PATH, urlencode(query))

    async def test_an_item_of_the_named_revision_or_an_older_one_is_sent(self) -> None:
        for revision in (7, 6, 0):
            with self.subTest(revision=revision):
                status, body = await self._item(key="op/config", revision=revision)
                self.assertEqual((status, decode_item(body)), (200, _ITEM))

    async def test_an_item_that_is_not_held_yet_is_not_found(self) -> None:
        self.assertEqual(await self._item(key="op/config", revision=8), (404, b""))

    async def test_an_unknown_or_removed_key_is_not_found(self) -> None:
        for key in ("op/other", "servers/b", ""):
            with self.subTest(key=key):
                self.assertEqual(await self._item(key=key, revision=1), (404, b""))

    async def test_another_path_is_not_found(self) -> None:
        self.assertEqual(await self._get("/v1/other", "key=op/config"), (404, b""))

    async def test_keys_with_any_characters_are_found(self) -> None:
        item = Item("op/a b&c=d%/ü", b"v", 10)
        self.app.store_view.apply(Delta((item,), (), 10), 0.0)
        status, body = await self._item(key=item.key, revision=10)
        self.assertEqual((status, decode_item(body)), (200, item))

    async def test_malformed_numbers_are_not_found(self) -> None:
        for number in ("-1", "x", "1.0", "0x7", "7 7"):
            with self.subTest(number=number):
                self.assertEqual(await self._item(key="op/config", revision=number), (404, b""))
                self.assertEqual(await self._delta(after=number), (404, b""))
                self.assertEqual(await self._delta(after=0, most=number), (404, b""))

    async def test_digits_that_are_no_decimal_number_are_not_found(self) -> None:
        for number in ("\u00b2", "\u2460", "9" * 5000):
            self.assertEqual(await self._item(key="op/config", revision=number), (404, b""))
            self.assertEqual(await self._delta(after=number), (404, b""))
            self.assertEqual(await self._delta(after=0, most=number), (404, b""))

    async def test_a_peer_that_states_a_size_gets_larger_items_named(self) -> None:
        status, body = await self._delta(after=0, most=MAX_INLINE_VALUE_BYTES)
        named = (DeferredItem("op/config", 7, len(_ITEM.value)),)
        removals = (Removal("servers/b", 9),)
        self.assertEqual(status, 200)
        self.assertEqual(decode_delta(body), Delta((self.small,), removals, 9, False, named))

    async def test_a_peer_that_states_no_size_gets_all_in_four_fields(self) -> None:
        status, body = await self._delta(after=0)
        held = [[*_ITEM], [*self.small]]
        self.assertEqual(status, 200)
        self.assertEqual(msgspec.msgpack.decode(body), [held, [["servers/b", 9]], 9, False])


class Encoded(unittest.TestCase):
    def test_each_revision_is_encoded_once(self) -> None:
        kept = EncodedItems()
        with patch.object(internal_apps, "encode_item", wraps=encode_item) as encode:
            first = [kept.encode(_ITEM) for _ in range(5)]
            newer = _ITEM._replace(value=b"new", revision=8)
            second = [kept.encode(newer) for _ in range(5)]
        self.assertEqual(encode.call_count, 2)
        self.assertEqual({decode_item(data) for data in first}, {_ITEM})
        self.assertEqual({decode_item(data) for data in second}, {newer})

    @given(st.lists(st.tuples(st.integers(0, 9), st.integers(1, 3)), max_size=60))
    def test_the_requested_item_is_returned_and_few_are_cached(self, requests) -> None:
        kept = EncodedItems()
        for key, revision in requests:
            item = Item(f"k{key}", b"%d" % revision, revision)
            self.assertEqual(decode_item(kept.encode(item)), item)
            self.assertLessEqual(len(kept._cache), internal_apps._MAX_CACHED_ITEMS)


class CutOff(Peer):
    """A peer that announces its whole body and closes the connection before its end."""

    def __init__(self, body: bytes, sent: int) -> None:
        super().__init__(200, body)
        self.answer = self.answer[: len(self.answer) - len(body) + sent]


class Fetching(unittest.IsolatedAsyncioTestCase):
    async def test_an_item_arrives_whole_and_its_progress_is_reported(self) -> None:
        progress_calls: list[int] = []
        value = random.Random(1).randbytes(200_000)
        item = Item("op/config", value, 7)
        address = await Peer(200, encode_item(item)).start(self)
        self.assertEqual(await fetch_item(address, _NAMED, lambda: progress_calls.append(1)), item)
        self.assertTrue(progress_calls)

    async def test_it_asks_for_the_key_and_the_revision(self) -> None:
        request_lines: list[bytes] = []
        address = await self._recording(request_lines)
        await fetch_item(address, DeferredItem(_ODD.key, _ODD.revision, 99_999))
        await fetch_delta(address, 5)
        targets = [line.split()[1].decode() for line in request_lines]
        self.assertEqual(targets[0], "/v1/item?key=op%2Fa+b%26c&revision=12")
        self.assertEqual(targets[1], f"/v1/delta?after=5&most={MAX_INLINE_VALUE_BYTES}")

    async def _recording(self, request_lines: list[bytes]) -> str:
        """Start a server that records request lines and serves both paths."""
        bodies = {b"item": encode_item(_ODD), b"delta": encode_delta(Delta((), (), 1))}

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            request_lines.append(head.split(b"\r\n")[0])
            body = bodies[b"item" if ITEM_PATH.encode() in head else b"delta"]
            writer.write(b"HTTP/1.1 200 x\r\ncontent-length: %d\r\n\r\n" % len(body) + body)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def test_an_error_status_is_an_error_with_a_remedy(self) -> None:
        await self._fails(Peer(503, b""), "status 503, expected 200: see the log of the peer VM")

    async def test_an_item_that_was_removed_is_an_error_of_its_own(self) -> None:
        address = await Peer(404, b"").start(self)
        with self.assertRaises(ItemNotHeldError):
            await fetch_item(address, _NAMED)

    async def test_an_item_that_was_not_requested_is_an_error(self) -> None:
        for other in (Item("op/other", b"", _NAMED.revision), Item(_NAMED.key, b"", 1)):
            with self.subTest(other=other):
                await self._fails(Peer(200, encode_item(other)), "which was not requested")

    async def test_garbage_is_an_error_with_a_remedy(self) -> None:
        of_delta = encode_delta(Delta((), (), 1))
        for body in (b"", b"\xc1", of_delta, zlib.compress(of_delta), encode_item(_ITEM)[:-1]):
            with self.subTest(body=body[:20]):
                await self._fails(
                    Peer(200, body), "not an item .*check which version the peer VM runs"
                )

    async def test_a_truncated_body_is_an_error_with_a_remedy(self) -> None:
        body = encode_item(_ITEM)
        for sent in (0, 1, len(body) - 1):
            with self.subTest(sent=sent):
                await self._fails(
                    CutOff(body, sent),
                    "check that the peer VM runs and that TCP connections to it work",
                )

    async def test_an_unreachable_peer_is_an_error_with_a_remedy(self) -> None:
        with self.assertRaisesRegex(DeltaUnavailableError, "check that the peer VM runs"):
            await fetch_item("127.0.0.1:9", _NAMED)

    async def _fails(self, peer: Peer, reason: str) -> None:
        address = await peer.start(self)
        with self.assertRaisesRegex(DeltaUnavailableError, reason):
            await fetch_item(address, _NAMED)


if __name__ == "__main__":
    unittest.main()
