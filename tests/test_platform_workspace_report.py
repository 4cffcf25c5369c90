"""The report of workspaces' limits adds up all VMs and names those that do not answer."""

import unittest

from sprucewinch.gateway.resources import Member

from . import adapter  # noqa: F401 - makes the next import possible

from workspace_report import FleetRows, fleet_rows, workspace_totals, workspace_line  # isort: skip


def row(vm: str, workspace: str, used: int, refused: int, part: float = 0.0) -> dict:
    return {
        "vm": vm,
        "workspace": workspace,
        "rate_per_s": 8,
        "burst": 8,
        "used": used,
        "refused": refused,
        "part": part,
        "left": 3.0 * bool(part),
    }


class Sums(unittest.TestCase):
    def test_the_one_with_most_refusals_comes_first_with_its_refusing_vms(self) -> None:
        rows = [
            row("a", "calm", 5, 0, 0.5),
            row("a", "hot", 7, 2, 0.5),
            row("b", "hot", 1, 9, 0.25),
        ]
        hot, calm = workspace_totals(rows)
        self.assertEqual((hot.name, hot.used, hot.refused), ("hot", 8, 11))
        self.assertEqual(
            workspace_line(hot),
            "hot: 8 a second and 8 at once; 8 admitted, 11 refused; 0.75 of its limit is held, "
            "6 requests of it free; refused at b (9), a (2)",
        )
        self.assertNotIn("refused at", workspace_line(calm))


class Silent(unittest.IsolatedAsyncioTestCase):
    async def test_a_vm_that_does_not_answer_is_named(self) -> None:
        gone = Member("vm7", "east-a", "east", "127.0.0.1:1", "127.0.0.1:1")
        self.assertEqual(await fleet_rows([gone]), FleetRows([], ["vm7"]))


if __name__ == "__main__":
    unittest.main()
