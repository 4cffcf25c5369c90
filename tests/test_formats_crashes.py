"""What VMs tell each other and the store of requests that crash servers, byte by byte.

See `test_formats` for why the literals stay when the code is renamed.
"""

import unittest

import msgspec

from sprucewinch.gateway.crashes.crash_reports import CrashReport, SuccessReport, SuspectRow
from sprucewinch.gateway.resources import CrashEvidence, QuarantinedRequest
from sprucewinch.gateway.state.own_items import decode_own, quarantine_item
from sprucewinch.gateway.state.replica import Item
from sprucewinch.gateway.state.store_view import MalformedItemError

CRASH = (
    b"\x97\xa5crash\x91\xa3vm1\xa3i-7\x07\xa5rates\x0c\x91\x94\xc4\x02\x01\x02\xce\x00\x01\x00\x00"
    b"\xa6GET /a,"
)
SUCCESS = b"\x93\xa4well\xc4\x02\x01\x02\x0c"
ITEM = (
    b'{"fingerprint":"0102","target_hash":"ff","what":"GET /a","since":17.5,'
    b'"crashes":[["i-7",0,["vm1","vm2"],1.25]],"trials":1,"trials_left":2}'
)
KEY = "sprucewinch/quarantine/0102"


def request() -> QuarantinedRequest:
    """Return the request that `ITEM` holds."""
    crash = CrashEvidence("i-7", 0, ("vm1", "vm2"), 1.25)
    return QuarantinedRequest("0102", "ff", "GET /a", 17.5, (crash,), 1, 2)


class Formats(unittest.TestCase):
    def test_messages(self) -> None:
        row = SuspectRow(b"\x01\x02", 65536, "GET /a", 44)
        report = CrashReport(("vm1",), "i-7", 7, "rates", 12, (row,))
        self.assertEqual(msgspec.msgpack.encode(report), CRASH)
        self.assertEqual(msgspec.msgpack.decode(CRASH, type=CrashReport), report)
        success = SuccessReport(b"\x01\x02", 12)
        self.assertEqual(msgspec.msgpack.encode(success), SUCCESS)
        self.assertEqual(msgspec.msgpack.decode(SUCCESS, type=SuccessReport), success)

    def test_item(self) -> None:
        self.assertEqual(tuple(quarantine_item(request())), (KEY, ITEM))
        self.assertEqual(decode_own(Item(KEY, ITEM, 1)), request())

    def test_an_item_that_cannot_be_read_names_its_field(self) -> None:
        unreadable = ITEM.replace(b'"trials":1', b'"trials":"x"')
        with self.assertRaisesRegex(MalformedItemError, "trials"):
            decode_own(Item(KEY, unreadable, 1))

    def test_an_item_whose_names_are_no_digits_is_not_taken_up(self) -> None:
        for name, wrong in ((b'"0102"', b'"01x2"'), (b'"ff"', b'"fx"'), (b'"ff"', b'""')):
            with self.subTest(wrong), self.assertRaises(MalformedItemError):
                decode_own(Item(KEY, ITEM.replace(name, wrong), 1))


if __name__ == "__main__":
    unittest.main()
