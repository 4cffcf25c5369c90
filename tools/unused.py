"""Lists unused code, as found by vulture.

    python -m tools.unused

This module sets the folders to scan and the confidence threshold. It relies on vulture and on
`tools/vulture_names.py`, which lists the names that only libraries use. Classes of test files are
left out, since unittest discovers test cases.
"""

import sys
from pathlib import Path

from vulture import Vulture
from vulture.core import Item

SCANNED_FOLDERS = ("sprucewinch", "platform", "standins", "tools", "tests", "examples")
GENERATED = ("*/peer_pb2.py", "*/peer_grpc.py")
HYPOTHESIS_DECORATORS = ("@initialize", "@invariant", "@rule")
"""Decorators of methods that Hypothesis calls in its stateful tests."""

MIN_CONFIDENCE_PERCENT = 60
"""Lowest confidence of a reported finding; vulture assigns 60 to names that no code mentions."""


def main() -> int:
    """Print unused code; returns the exit status, 1 when there is any."""
    vulture = Vulture(ignore_decorators=HYPOTHESIS_DECORATORS)
    vulture.scavenge(SCANNED_FOLDERS, exclude=GENERATED)
    unused = [
        item for item in vulture.get_unused_code(MIN_CONFIDENCE_PERCENT) if not _is_test_case(item)
    ]
    for item in unused:
        print(item.get_report())
    return 1 if unused else 0


def _is_test_case(item: Item) -> bool:
    in_tests = "tests" in Path(item.filename).parts
    return in_tests and (item.typ == "class" or item.name.startswith("Test"))


if __name__ == "__main__":
    sys.exit(main())
