"""What VMs tell each other of workspaces' limits, byte by byte, and what the store says of them.

See `test_formats` for why the literals stay when the code is renamed.
"""

import json
import unittest

import msgspec

from sprucewinch.gateway.quotas.exchange import QuotaAnswer, QuotaRequest, QuotaReturn
from sprucewinch.gateway.resources import Workspace
from sprucewinch.gateway.state.replica import Item
from sprucewinch.gateway.workspaces.keys import key_digest

from . import adapter  # noqa: F401 - makes the next import possible

from store_items import StoreItems  # isort: skip

# Ask, 4 slots: tag, number, workspace, requests.
ASK = b"\x94\xa9quota-ask\x07\xa7shipper\x03"
# Answer, 4 slots: tag, number, requests, time to ask again in milliseconds (-1: not the owner).
ANSWER = b"\x94\xacquota-answer\x07\x02\xcc\xfa"
# Return, 3 slots: tag, workspace, requests.
RETURN = b"\x93\xacquota-return\xa7shipper\x02"
CONFIGURATION = {
    "Version": "r7",
    "Services": [],
    "Hosts": [],
    "Tenants": [
        {
            "Name": "shipper",
            "ApiKeys": ["one", "two"],
            "Priority": 1,
            "RatePerS": 181,
            "Burst": 18.5,
            "AllowedRegions": ["east"],
        },
        {"Name": "broker", "ApiKeys": ["three"]},
    ],
}
WRONG = (
    ({"Name": "shipper"}, "two have the name 'shipper'"),
    ({"Name": "x", "ApiKeys": ["one"]}, "'shipper' and 'x' share an API key"),
    ({"Name": "x", "ApiKeys": ["a", "a"]}, "one lists an API key twice"),
    ({"Name": "x", "RatePerS": -1}, "RatePerS of 'x' is -1, not a number from 0 on"),
    ({"Name": "x", "Burst": -0.5}, "Burst of 'x' is -0.5, not a number from 0 on"),
    ({"Name": "x", "AllowedRegions": ["moon"]}, "'x' names the unknown region 'moon'"),
    ({"Name": "x", "AllowedRegions": "east"}, "AllowedRegions of 'x' is no list of texts"),
    ({"Name": "x", "ApiKeys": [7]}, "ApiKeys of 'x' is no list of texts"),
    ({"Name": "x", "Priority": "high"}, "Priority: found 'high', not of type int"),
    ({"Name": "a\r\nb"}, "found the name"),
    ({"ApiKeys": ["a"]}, "Name: found None, not of type str"),
)


def decoded(table: dict) -> tuple[Workspace, ...]:
    """Return the workspaces of a configuration."""
    items = StoreItems(frozenset(("east", "west")))
    found = items.decode(Item("op/config", json.dumps(table).encode(), 1))
    return found.workspaces  # type: ignore[union-attr]


class Messages(unittest.TestCase):
    def test_slots(self) -> None:
        self.assertEqual(msgspec.msgpack.encode(QuotaRequest(7, "shipper", 3)), ASK)
        self.assertEqual(msgspec.msgpack.encode(QuotaAnswer(7, 2, 250)), ANSWER)
        self.assertEqual(msgspec.msgpack.encode(QuotaReturn("shipper", 2)), RETURN)
        self.assertEqual(msgspec.msgpack.decode(ASK, type=QuotaRequest).count, 3)
        self.assertEqual(msgspec.msgpack.decode(ANSWER, type=QuotaAnswer).wait_ms, 250)


class Configurations(unittest.TestCase):
    def test_fields(self) -> None:
        first, second = decoded(CONFIGURATION)
        keys = (key_digest("one"), key_digest("two"))
        self.assertEqual(first, Workspace("shipper", keys, 1, 181, 18.5, ("east",)))
        self.assertEqual(second, Workspace("broker", (key_digest("three"),)))

    def test_without_workspaces(self) -> None:
        self.assertEqual(decoded({"Version": "r1", "Services": [], "Hosts": []}), ())

    def test_wrong_ones_name_the_fault_in_a_known_and_in_an_unknown_form(self) -> None:
        for row, message in WRONG:
            for more in ({}, {"Unknown": 1}):
                table = {**CONFIGURATION, **more}
                table["Tenants"] = [*CONFIGURATION["Tenants"], row]  # type: ignore[misc]
                with self.subTest(message), self.assertRaisesRegex(Exception, message):
                    decoded(table)

    def test_a_change_of_one_leaves_the_others_as_they_are(self) -> None:
        items = StoreItems()
        table = json.loads(json.dumps(CONFIGURATION))
        first = items.decode(Item("op/config", json.dumps(table).encode(), 1))
        table["Tenants"][1]["ApiKeys"] = ["four"]
        second = items.decode(Item("op/config", json.dumps(table).encode(), 2))
        assert first is not None and second is not None
        self.assertIs(first.workspaces[0], second.workspaces[0])  # type: ignore[union-attr]
        self.assertEqual(second.workspaces[1].keys, (key_digest("four"),))  # type: ignore[union-attr]


if __name__ == "__main__":
    unittest.main()
