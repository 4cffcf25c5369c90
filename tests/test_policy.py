import dataclasses
import unittest

from sprucewinch.errors import PolicyError
from sprucewinch.steering.policy import (
    PolicyFault,
    ProgramPolicy,
    check_program,
    shipped_policies,
    trial_snapshots,
)

REGIONS = ("east", "west", "north")


def program(*lines: str) -> str:
    """Return the source of a policy whose function consists of these lines."""
    return "\n".join(["def shares(snapshot):", *(f"    {line}" for line in lines)])


class ShippedPolicies(unittest.TestCase):
    def test_all_pass_the_trial_snapshots(self) -> None:
        names = {"capacity", "demand", "nearest", "fixed", "headroom", "latency"}
        self.assertEqual(set(shipped_policies()), names)
        for name, source in shipped_policies().items():
            with self.subTest(name):
                check_program(name, source, REGIONS)

    def test_headroom_policy_keeps_callers_at_home_while_slots_are_free(self) -> None:
        policy = ProgramPolicy("headroom", shipped_policies()["headroom"])
        fresh, full = trial_snapshots(REGIONS)[0], trial_snapshots(REGIONS)[6]
        self.assertEqual(policy.weights(fresh)["east"], 1.0)
        self.assertEqual(policy.weights(full), {"east": 1.0})
        home_full = dict(fresh.regions, east=full.regions["east"])
        weights = policy.weights(dataclasses.replace(fresh, regions=home_full))
        self.assertAlmostEqual(weights["east"], 0.5)
        self.assertAlmostEqual(weights["west"], 0.25)

    def test_same_snapshot_gives_same_weights(self) -> None:
        policy = ProgramPolicy("headroom", shipped_policies()["headroom"])
        snapshot = trial_snapshots(REGIONS)[0]
        self.assertEqual(policy.weights(snapshot), policy.weights(snapshot))


class BadPrograms(unittest.TestCase):
    refused_at_load = {
        "syntax": "def shares(snapshot) return 1",
        "while": program("while True:", "    pass"),
        "import": "import os\n" + program("return {}"),
        "private attribute": program("return snapshot.__class__"),
        "power": program("return {'east': 9 ** 9}"),
        "lambda": program("return (lambda: 1)()"),
        "set of nested tuples": program("return {(1, 2)}"),
        "too long": program("return {}") + " " * 20_000,
        "deep nesting": program("return " + "-" * 8000 + "1"),
        "internal name": program("return _call_(1)"),
        "format": program("return f'{snapshot}'"),
    }

    faults_when_run = {
        "endless loop": program(
            "for a in range(9999):", "    for b in range(9999):", "        pass"
        ),
        "endless recursion": program("return shares(snapshot)"),
        "growing text": program(
            "x = 'aa'", "for i in range(60):", "    x = x + x", "return {x: 1}"
        ),
        "text grown in place": program("x = 'aa'", "x *= 9999999999", "return {x: 1}"),
        "growing number": program(
            "x = 9", "for i in range(60):", "    x = x * x", "return {'east': x}"
        ),
        "huge list": program("x = [1] * 999999999", "return {'east': len(x)}"),
        "huge range": program("return {'east': len(sorted(range(999999999)))}"),
        "many copies of a list": program(
            "big = [i for i in range(3000)]",
            "kept = []",
            "for i in range(3000):",
            "    kept.append(sorted(big))",
            "return {'east': 1}",
        ),
        "nested key of get": program(
            "x = (1, 2)",
            "for i in range(60):",
            "    x = (x, x)",
            "return {'east': {}.get(x, 1)}",
        ),
        "nested key of assignment": program(
            "x = (1, 2)", "for i in range(60):", "    x = (x, x)", "d = {}", "d[x] = 1", "return d"
        ),
        "comparison of nested lists": program(
            "x = []",
            "y = []",
            "for i in range(60):",
            "    x = [x, x]",
            "    y = [y, y]",
            "return {'east': 1 if x == y else 2}",
        ),
        "sorting nested tuples": program(
            "x = (1, 2)",
            "y = (1, 2)",
            "for i in range(60):",
            "    x = (x, x)",
            "    y = (y, y)",
            "return {'east': len(sorted([x, y]))}",
        ),
        "unknown region": program("return {'nowhere': 1}"),
        "negative": program("return {'east': -1}"),
        "all zero": program("return {'east': 0}"),
        "no number": program("return {'east': 'all'}"),
        "no dictionary": program("return 1"),
        "not a number": program("x = 9000000000000000.0", "return {'east': x * x / x - x * x}"),
    }

    def test_refused_at_load(self) -> None:
        for name, source in self.refused_at_load.items():
            with self.subTest(name), self.assertRaises(PolicyError) as caught:
                check_program(name, source, REGIONS)
            self.assertNotIn("\n", str(caught.exception))

    def test_fault_when_run(self) -> None:
        for name, source in self.faults_when_run.items():
            with self.subTest(name):
                result = ProgramPolicy(name, source).weights(trial_snapshots(REGIONS)[0])
                self.assertIsInstance(result, PolicyFault)

    def test_program_without_entry_point_is_refused(self) -> None:
        with self.assertRaises(PolicyError):
            check_program("empty", "x = 1", REGIONS)
