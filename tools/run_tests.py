"""Runs all tests, lists the known red ones, and ends with the line `N passed, N failed`.

Owns the exit status of a test run: 1 for a failure that KNOWN-RED.txt does not list, for too many
known ones, or when nothing ran. Hypothesis runs derandomized, so that a run can be repeated.
"""

import logging
import sys
import unittest
from pathlib import Path

from hypothesis import settings

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
_MOST_RED = 3
"""Most known red tests; KNOWN-RED.txt states the same."""


def known_red() -> dict[str, str]:
    """Return the tests that are known to fail, with their causes."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    rows = [line for line in lines if line.strip() and not line.startswith("#")]
    return {row.split("|")[0].strip(): row for row in rows}


def main() -> int:
    """Run the tests; returns the exit status."""
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.load_profile("ci")
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    red = known_red()
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = [test.id() for test, _ in (*result.failures, *result.errors)]
    failed += [test.id() for test in result.unexpectedSuccesses]
    new = [test for test in failed if test not in red]
    for row in red.values():
        print(f"known red: {row}")
    if len(red) > _MOST_RED:
        print(f"KNOWN-RED.txt has {len(red)} tests; at most {_MOST_RED} may stand there")
    print(f"{result.testsRun - len(failed)} passed, {len(failed)} failed")
    return 1 if new or len(red) > _MOST_RED or result.testsRun == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
