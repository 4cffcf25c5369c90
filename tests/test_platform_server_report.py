"""The report lists each server process with what each VM knows of its statements."""

import unittest

from . import adapter  # noqa: F401 - makes the next import possible

from server_report import server_lines  # isort: skip

ROW = {
    "vm": "vm1",
    "server": "s0",
    "incarnation": 7,
    "limit_per_s": 2.5,
    "by_server": True,
    "limit_since_s": 9.0,
    "limit_age_s": 0.4,
    "no_token_s": 0.2,
    "leaving_s": None,
    "rests_s": 0.0,
}


class Lines(unittest.TestCase):
    def test_each_server_with_what_each_vm_was_told(self) -> None:
        other = {**ROW, "vm": "vm2", "limit_per_s": None, "no_token_s": 0.0}
        rows = [ROW, {**other, "leaving_s": 3.0}, {**other, "server": "s1", "rests_s": 1.5}]
        self.assertEqual(
            server_lines(rows),
            [
                "s0, process 7",
                "  vm1: takes 2.5 a second of all VMs, told by itself, first 9 s ago, last 0.4 s "
                "ago; nothing left for this VM for 0.2 s",
                "  vm2: said 3 s ago that it leaves",
                "s1, process 7",
                "  vm2: asked for rest, 1.5 s are left",
            ],
        )


if __name__ == "__main__":
    unittest.main()
