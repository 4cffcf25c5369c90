"""Decoding with the cache gives what full decoding gives, whichever configuration came before.

Also: unchanged routes are reused, and a malformed configuration leaves the cache as it was.
"""

import json
import unittest
from typing import Any, Union

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.resources import RouteConfiguration
from sprucewinch.gateway.state.replica import Item
from sprucewinch.gateway.state.store_view import MalformedItemError

from . import adapter  # noqa: F401 - makes the next imports possible

from store_items import CONFIGURATION_KEY, StoreItems, decode_configuration, decode_routes  # isort: skip
from wire_text import WireError  # isort: skip

Outcome = Union[RouteConfiguration, str]

PLAIN = {"Name": "r-1", "PathPrefix": "/a/", "RouteType": "safe", "Service": "s1"}
SPLIT = {**PLAIN, "Name": "r-2", "TrafficSplit": [{"Service": "s1", "Weight": 90}]}
ROUTES = (
    PLAIN,
    SPLIT,
    {**SPLIT, "TrafficSplit": [{"Service": "s1", "Weight": 80}]},
    {**PLAIN, "Name": "route – 3", "Timeout": "800ms", "AllowedRegions": ["east"]},
    # Equal in Python, and not the same: only the first is well formed.
    {**PLAIN, "MaxAttempts": 1},
    {**PLAIN, "MaxAttempts": True},
    {**PLAIN, "MaxAttempts": None},
    {**PLAIN, "Timeout": "soon"},
    {"Name": "r-4"},
    [],
    None,
)
HOSTS = ("One.example", "one.example", "two.example", None, 3)
WHOLE_FIELDS = (
    {},
    {"Version": "7"},
    {"Version": None},
    {"Services": [{"Name": "s1"}]},
    {"Services": [{}]},
    {"Limits": {"MaxBodyBytes": 10}},
    {"Limits": []},
    {"Hosts": None},
    {"Hosts": {}},
    {"Hosts": [[]]},
    {"Hosts": [{"Paths": []}]},
    {"Hosts": [{"Hostname": "one.example"}]},
    {"Other": [1.5, "x"]},
)
PIECES = (b'"', b"{", b"}", b"]", b",", b"\\", b"\xff", b"1e999", b" ", b"")


def _hosts() -> st.SearchStrategy[list[dict[str, Any]]]:
    paths = st.lists(st.sampled_from(ROUTES[:5]) | st.sampled_from(ROUTES), max_size=4)
    names = st.sampled_from(HOSTS[:3]) | st.sampled_from(HOSTS)
    return st.lists(st.fixed_dictionaries({"Hostname": names, "Paths": paths}), max_size=3)


def _text(
    hosts: list[dict[str, Any]], version: int, fields: dict[str, Any], indent: Any, escaped: bool
) -> bytes:
    table = {"Version": f"r{version}", "Hosts": hosts, **fields}
    return json.dumps(table, indent=indent, ensure_ascii=escaped).encode()


def _broken(text: bytes, at: int, length: int, piece: bytes) -> bytes:
    start = at % len(text)
    return text[:start] + piece + text[start + length :]


def _texts() -> st.SearchStrategy[bytes]:
    fields = st.just({}) | st.sampled_from(WHOLE_FIELDS)
    indent = st.sampled_from((None, 1))
    whole = st.builds(_text, _hosts(), st.integers(0, 9), fields, indent, st.booleans())
    at = st.integers(0, 10_000)
    broken = st.builds(_broken, whole, at, st.integers(0, 8), st.sampled_from(PIECES))
    return whole | broken


def _read(items: StoreItems, text: bytes) -> Outcome:
    try:
        found = items.decode(Item(CONFIGURATION_KEY, text, 1))
    except MalformedItemError as error:
        return str(error)
    assert isinstance(found, RouteConfiguration)
    return found


def _read_in_whole(text: bytes) -> Outcome:
    try:
        table = msgspec.json.decode(text)
        return decode_configuration(table, decode_routes(table))
    except (WireError, msgspec.MsgspecError) as error:
        return str(error)


def _configuration(*paths: Any, host: str = "one.example", **fields: Any) -> bytes:
    return _text([{"Hostname": host, "Paths": list(paths)}], 7, fields, None, True)


class SameAsInWhole(unittest.TestCase):
    @given(st.lists(_texts(), min_size=1, max_size=6))
    def test_a_series_is_read_as_each_alone(self, texts: list[bytes]) -> None:
        items = StoreItems()
        for text in texts:
            found = _read(items, text)
            # `repr` tells 1 from 1.0 and True.
            self.assertEqual(repr(found), repr(_read(StoreItems(), text)))
            self.assertEqual(repr(found), repr(_read_in_whole(text)))

    def test_what_no_route_is_made_of_is_checked_too(self) -> None:
        good = _configuration(PLAIN)
        start = good.index(b'"Hosts"')
        paths = good.index(b'"Paths"')
        huge = b"[1e999], "
        cases = (
            good[:start] + b'"Hosts": ' + huge + good[start:],
            good[:start] + b'"Hosts": [{"Hostname": "x", "Paths": [1e999]}], ' + good[start:],
            good[:start] + b'"\\u0048osts": ' + huge + good[start:],
            good[:paths] + b'"Paths": ' + huge + good[paths:],
            good[:paths] + b'"P\\u0061ths": ' + huge + good[paths:],
            good[:paths] + b'"Other": ' + huge + good[paths:],
            good[:start] + b'"Other": ' + huge + good[start:],
            good[:start] + b'"Other": "\xff", ' + good[start:],
        )
        items = StoreItems()
        _read(items, good)
        for text in cases:
            with self.subTest(text=text):
                found = _read(items, text)
                self.assertIsInstance(found, str)
                self.assertEqual(found, _read_in_whole(text))


class KeptRoutes(unittest.TestCase):
    def setUp(self) -> None:
        self.items = StoreItems()

    def _routes(self, text: bytes) -> Any:
        found = _read(self.items, text)
        assert isinstance(found, RouteConfiguration), found
        return found.routes

    def test_only_what_has_changed_is_decoded(self) -> None:
        plain, split = self._routes(_configuration(PLAIN, SPLIT))
        new, same, changed = self._routes(_configuration(ROUTES[3], PLAIN, ROUTES[2]))
        self.assertIs(same, plain)
        self.assertEqual(new.name, "route – 3")
        self.assertEqual((split.parts[0].weight, changed.parts[0].weight), (90, 80))

    def test_a_configuration_that_names_its_base_is_no_exception(self) -> None:
        (first,) = self._routes(_configuration(PLAIN, BaseVersion="r5"))
        (again,) = self._routes(_configuration(PLAIN, BaseVersion="r6"))
        self.assertIs(again, first)

    def test_the_same_text_at_another_host_is_another_route(self) -> None:
        self._routes(_configuration(PLAIN))
        (other,) = self._routes(_configuration(PLAIN, host="Two.example"))
        self.assertEqual(other.host, "two.example")

    def test_only_the_last_configuration_is_kept(self) -> None:
        first, _ = self._routes(_configuration(PLAIN, SPLIT))
        self._routes(_configuration(SPLIT))
        (again,) = self._routes(_configuration(PLAIN))
        self.assertEqual(again, first)
        self.assertIsNot(again, first)

    def test_a_malformed_configuration_changes_nothing(self) -> None:
        first = self._routes(_configuration(PLAIN, SPLIT))
        malformed = (
            _configuration(SPLIT)[:-1],
            _configuration(SPLIT, ROUTES[7]),
            _configuration(SPLIT, Version="7"),
            _configuration(SPLIT, Services=[{}]),
            _configuration(SPLIT, Limits=[]),
            _configuration(SPLIT, Hosts={}),
            b"",
            b"null",
        )
        for text in malformed:
            with self.subTest(text=text):
                self.assertIsInstance(_read(self.items, text), str)
                again = self._routes(_configuration(PLAIN, SPLIT))
                self.assertIs(again[0], first[0])
                self.assertIs(again[1], first[1])
