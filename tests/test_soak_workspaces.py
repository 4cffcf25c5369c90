"""Tests that the soak finds broken promises on workspaces."""

import unittest

from standins.scripted_server import Run
from tools.soak.configuration import first_key
from tools.soak.ledger import Version
from tools.soak.promises.workspaces import workspace_of

from .test_soak import Judged

_KEY = first_key("desk")
_LATER_KEY = f"{_KEY}-7"


class Day(Judged):
    """A handwritten day whose only version has one key of a workspace limited to 4 a second."""

    def __init__(self) -> None:
        super().__init__()
        self.services = self.ledger.versions[0].services
        self.ledger.versions = [self.version(1, 0.0, _KEY)]

    def version(self, number: int, at: float, *keys: str, rate: float = 4.0) -> Version:
        return Version(number, at, self.services, frozenset(keys), {"desk": rate})

    def ran(self, number: int, sent_at: float, *, key: str = _KEY, name: str = "desk") -> None:
        """Record one attempt that ran under a workspace's name."""
        attempt = self.attempt(f"q{number}", sent_at=sent_at, ran_at="")
        attempt.key = key
        headers = {"x-tenant-name": name} if name else {}
        run = Run(f"q{number}", "GET", "/", b"", headers, sent_at + 0.01)
        self.servers["i-1"].stand_in.runs.append(run)


class PromisesAreJudged(unittest.TestCase):
    def test_the_name_in_which_a_request_ran(self) -> None:
        for name, expected in (("desk", set()), ("forged", {"UNASKED"}), ("", {"UNASKED"})):
            day = Day()
            day.ran(1, 100.0, name=name)
            self.assertEqual(day.rules(), expected)

    def test_a_key_that_reached_a_server(self) -> None:
        day = Day()
        day.ran(1, 100.0)
        day.servers["i-1"].stand_in.runs[-1].headers["x-a"] = _KEY
        self.assertEqual(day.rules(), {"UNASKED"})

    def test_a_key_that_was_taken_away(self) -> None:
        for sent_at, expected in ((100.0, set()), (101.0, set()), (110.0, {"KEY"})):
            day = Day()
            day.ledger.versions = [
                day.version(1, 0.0, _KEY, _LATER_KEY),
                day.version(2, 100.0, _KEY),
            ]
            day.ran(1, sent_at, key=_LATER_KEY)
            self.assertEqual(day.rules(), expected, sent_at)

    def test_a_key_that_is_there_and_refused(self) -> None:
        for sent_at, expected in ((100.5, set()), (110.0, {"KEY"})):
            day = Day()
            day.ledger.versions.append(day.version(2, 100.0, _KEY, _LATER_KEY))
            day.attempt(status=401, sent_at=sent_at, ran_at="").key = _LATER_KEY
            for number in range(2, 9):
                day.ran(number, 120.0)
            self.assertEqual(day.rules(), expected, sent_at)

    def test_a_limit_over_all_vms(self) -> None:
        allowed = int((4 * 5 + 4) * 1.1 + 20)
        for count, expected in ((allowed, set()), (allowed + 1, {"QUOTA"})):
            day = Day()
            for number in range(count):
                day.ran(number, 100.0 + number * 0.01)
            self.assertEqual(day.rules(), expected, count)

    def test_a_lowered_limit_binds_a_window_later(self) -> None:
        for sent_at, expected in ((106.0, set()), (120.0, {"QUOTA"})):
            day = Day()
            day.ledger.versions.append(day.version(2, 100.0, _KEY, rate=1.0))
            for number in range(40):
                day.ran(number, sent_at + number * 0.01)
            self.assertEqual(day.rules(), expected, sent_at)

    def test_whose_key_it_is(self) -> None:
        self.assertEqual(
            [workspace_of(key) for key in (_KEY, _LATER_KEY, "")], ["desk", "desk", ""]
        )


if __name__ == "__main__":
    unittest.main()
