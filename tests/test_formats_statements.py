"""What VMs tell each other of servers' statements and limits, byte by byte.

See `test_formats` for why the literals stay when the code is renamed.
"""

import unittest

import msgspec

from sprucewinch.gateway.quotas.exchange import HallQuotaRequest
from sprucewinch.gateway.statements.start_asks import StatementsEnd, StatementsRequest
from sprucewinch.gateway.statements.statement_report import StatementReport

REPORT = b"\x96\xa6stated\xa2s0\x07\x0c\xcb@\x04\x00\x00\x00\x00\x00\x00\xc2"
LEAVING = b"\x96\xa6stated\xa2s0\x07\x00\xc0\xc3"
HALL_ASK = b"\x96\xaehall-quota-ask\x07\xa2s0\x01\xcb@\x04\x00\x00\x00\x00\x00\x00\xa6east-a"
ASK = b"\x91\xaastated-ask"
END = b"\x91\xaastated-end"


class Formats(unittest.TestCase):
    def test_messages(self) -> None:
        for message, wire in (
            (StatementReport("s0", 7, 12, 2.5), REPORT),
            (StatementReport("s0", 7, 0, None, True), LEAVING),
            (HallQuotaRequest(7, "s0", 1, 2.5, "east-a"), HALL_ASK),
            (StatementsRequest(), ASK),
            (StatementsEnd(), END),
        ):
            with self.subTest(type(message).__name__):
                self.assertEqual(msgspec.msgpack.encode(message), wire)
                self.assertEqual(msgspec.msgpack.decode(wire, type=type(message)), message)


if __name__ == "__main__":
    unittest.main()
