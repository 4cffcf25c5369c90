import unittest
from itertools import count

import msgspec

from sprucewinch.config.configuration import Document
from sprucewinch.config.loading import decode_document, encode_document
from sprucewinch.errors import (
    ConfigurationError,
    ConflictError,
    PlatformError,
    PolicyError,
    StaleStoreError,
    WriteUnknownError,
)
from sprucewinch.hall.store.documents import CONFIGURATION_KEY
from sprucewinch.operators.changes import (
    ApplyConfiguration,
    Drain,
    LoadPolicy,
    RetirePolicy,
    UsePolicy,
)
from sprucewinch.operators.writer import MAX_AUDIT_RECORDS, ChangeWriter
from tests.fakes import FakeStore, example
from tests.manual_clock import ManualClock

PROGRAM = "def shares(snapshot):\n    return {snapshot['client_region']: 1}"


class ChangeWriting(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.store = FakeStore()
        numbers = count(1)
        self.writer = ChangeWriter(
            self.store, ManualClock(), new_operation=lambda: f"op{next(numbers)}"
        )

    async def first(self) -> Document:
        change = ApplyConfiguration(example())
        return (await self.writer.write(change, "eva", base=None, in_force=0)).document

    def held(self) -> Document:
        return decode_document(self.store.values[CONFIGURATION_KEY].value)

    async def drain(self, hall: str = "van-1", operator: str = "eva") -> Document:
        accepted = await self.writer.write(Drain("hall", hall), operator, base=None, in_force=0)
        return accepted.document

    async def test_every_change_has_its_record_in_the_same_write(self) -> None:
        await self.first()
        document = await self.drain()
        self.assertEqual(document, self.held())
        self.assertEqual([r.action for r in document.audit], ["apply", "drain"])
        self.assertEqual([r.revision for r in document.audit], [1, 2])

    async def test_of_two_concurrent_operators_one_gets_a_conflict(self) -> None:
        await self.first()
        await self.drain()
        change = ApplyConfiguration(example())
        with self.assertRaises(ConflictError) as caught:
            await self.writer.write(change, "bob", base=1, in_force=2)
        self.assertIn("2 eva drain hall van-1", str(caught.exception))
        self.assertEqual(self.held().revision, 2)

    async def test_whole_configuration_needs_its_base(self) -> None:
        await self.first()
        with self.assertRaises(ConflictError):
            await self.writer.write(ApplyConfiguration(example()), "bob", base=None, in_force=1)

    async def test_concurrent_small_changes_are_both_written(self) -> None:
        first = await self.first()

        def other() -> None:
            record = msgspec.structs.replace(first.audit[0], revision=2, operation="other")
            document = msgspec.structs.replace(
                first, revision=2, drained=("hall:kel-1",), audit=(*first.audit, record)
            )
            self.store.write(CONFIGURATION_KEY, encode_document(document))

        self.store.before_put = other
        document = await self.drain()
        self.assertEqual(document.drained, ("hall:kel-1", "hall:van-1"))
        self.assertEqual(document.revision, 3)

    async def test_lost_answer_is_resolved_by_reading_back(self) -> None:
        await self.first()
        self.store.lose_next_answer = True
        document = await self.drain()
        self.assertEqual(document.revision, 2)
        self.assertEqual(len(self.held().audit), 2)

    async def test_lost_answer_under_a_newer_change_is_resolved_by_reading_back(self) -> None:
        await self.first()
        self.store.lose_next_answer = True
        original = self.store.get

        async def get_after_another(key: str):
            self.store.get = original
            held = self.held()
            newer = msgspec.structs.replace(held, revision=held.revision + 1)
            self.store.write(CONFIGURATION_KEY, encode_document(newer))
            return await original(key)

        async def first_get(key: str):
            self.store.get = get_after_another
            return await original(key)

        self.store.get = first_get
        await self.drain()
        self.assertEqual(self.held().drained, ("hall:van-1",))

    async def test_write_resent_by_the_client_is_resolved_by_reading_back(self) -> None:
        """The HTTP client may resend a write by itself; the second one is then a mismatch."""
        await self.first()
        original = self.store.put

        async def put_twice(key: str, value: bytes, expected: int):
            await original(key, value, expected)
            return await original(key, value, expected)

        self.store.put = put_twice
        self.assertEqual((await self.drain()).drained, ("hall:van-1",))

    async def test_lost_answer_while_the_platform_stays_down_is_unknown(self) -> None:
        await self.first()

        def go_down() -> None:
            self.store.lose_next_answer = True

        self.store.before_put = go_down
        original = self.store.put

        async def put(key: str, value: bytes, expected: int):
            try:
                return await original(key, value, expected)
            finally:
                self.store.down = True

        self.store.put = put
        with self.assertRaises(WriteUnknownError) as caught:
            await self.drain()
        self.assertIn("op2", str(caught.exception))

    async def test_outage_before_the_write_changes_nothing(self) -> None:
        await self.first()
        self.store.down = True
        with self.assertRaises(PlatformError) as caught:
            await self.drain()
        self.assertNotIsInstance(caught.exception, WriteUnknownError)

    async def test_no_change_is_applied_to_an_older_document(self) -> None:
        await self.first()
        with self.assertRaises(StaleStoreError):
            await self.writer.write(Drain("hall", "van-1"), "eva", base=None, in_force=7)
        in_force = msgspec.structs.replace(self.held(), revision=7)
        accepted = await self.writer.restore(in_force, "eva")
        self.assertEqual(accepted.document.revision, 8)
        with self.assertRaises(ConflictError):
            await self.writer.restore(in_force, "eva")

    async def test_audit_trail_is_archived_before_it_is_shortened(self) -> None:
        await self.first()
        for number in range(MAX_AUDIT_RECORDS):
            undo = bool(number % 2)
            change = Drain("hall", "van-1", undo=undo)
            await self.writer.write(change, "eva", base=None, in_force=0)
        archived = [k for k in self.store.values if k.startswith("audit/")]
        self.assertEqual(archived, ["audit/000000000001"])
        old = msgspec.json.decode(self.store.values[archived[0]].value)
        kept = [r.revision for r in self.held().audit]
        self.assertEqual([r["revision"] for r in old] + kept, list(range(1, MAX_AUDIT_RECORDS + 2)))

    async def test_policies(self) -> None:
        await self.first()

        async def write(change):
            return (await self.writer.write(change, "eva", base=None, in_force=0)).document

        document = await write(LoadPolicy("mine", PROGRAM))
        self.assertEqual([p.name for p in document.policies], ["mine"])
        document = await write(UsePolicy("rates", "mine"))
        self.assertEqual(document.configuration.service[0].policy, "mine")
        for change, error in (
            (RetirePolicy("mine"), ConfigurationError),
            (RetirePolicy("nearest"), ConfigurationError),
            (LoadPolicy("nearest", PROGRAM), ConfigurationError),
            (LoadPolicy("bad name", PROGRAM), ConfigurationError),
            (LoadPolicy("bad", "def shares(s): return 1"), PolicyError),
            (UsePolicy("rates", "none"), ConfigurationError),
            (UsePolicy("none", "mine"), ConfigurationError),
            (Drain("hall", "none"), ConfigurationError),
            (Drain("hall", "van-1", undo=True), ConfigurationError),
        ):
            before = self.held()
            with self.subTest(change.detail()), self.assertRaises(error):
                await write(change)
            self.assertEqual(self.held(), before)
        await write(UsePolicy("rates", "nearest"))
        self.assertEqual((await write(RetirePolicy("mine"))).policies, ())
