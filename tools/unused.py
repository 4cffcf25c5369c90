"""Lists code that nothing uses, as vulture sees it.

    python -m tools.unused

Owns the list of folders and the confidence. Relies on vulture and on `tools/vulture_names.py`,
which names what libraries call. Classes of test files are passed over: unittest finds test cases
by itself.
"""

import sys
from pathlib import Path

from vulture import Vulture
from vulture.core import Item

FOLDERS = ("sprucewinch", "platform", "standins", "tools", "tests", "examples")
GENERATED = ("*/peer_pb2.py", "*/peer_grpc.py")
STATE_MACHINE = ("@initialize", "@invariant", "@rule")
"""Decorators of methods that Hypothesis calls."""

CONFIDENCE = 60
"""Least confidence of a finding, in per cent; vulture gives 60 to names that no code mentions."""


def main() -> int:
    """Print what is unused; returns the exit status."""
    vulture = Vulture(ignore_decorators=STATE_MACHINE)
    vulture.scavenge(FOLDERS, exclude=GENERATED)
    unused = [item for item in vulture.get_unused_code(CONFIDENCE) if not _is_test_case(item)]
    for item in unused:
        print(item.get_report())
    return 1 if unused else 0


def _is_test_case(item: Item) -> bool:
    in_tests = "tests" in Path(item.filename).parts
    return in_tests and (item.typ == "class" or item.name.startswith("Test"))


if __name__ == "__main__":
    sys.exit(main())
