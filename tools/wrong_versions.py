"""Shows that the proofs of the platform's rules fail on wrong versions of the mechanisms.

    python -m tools.wrong_versions

For each rule a copy of the sources is made wrong in one place, and that rule's tests run on it.
A wrong version that stays green is a proof that proves nothing. Owns the copies and the runs;
`wrong_version_list` has the versions.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from pathlib import Path

from rich.console import Console
from rich.table import Table

from sprucewinch.errors import SprucewinchError

from .wrong_statement_versions import STATEMENT_VERSIONS
from .wrong_version_list import VERSIONS, WrongVersion
from .wrong_workspace_versions import WORKSPACE_VERSIONS

ALL_VERSIONS = (*VERSIONS, *WORKSPACE_VERSIONS, *STATEMENT_VERSIONS)

ROOT = Path(__file__).resolve().parent.parent
_COPIED = ("sprucewinch", "platform", "standins", "tests", "tools")
_LONGEST_S = 180.0
"""Seconds after which the tests of a wrong version count as failed. A guess, never measured."""


class StaleVersionError(SprucewinchError):
    """The text that a wrong version replaces does not stand in its file just once."""


def make_wrong(version: WrongVersion, folder: Path) -> None:
    """Make a copy of the sources wrong in one place.

    Args:
        version: What is wrong.
        folder: The copy.

    Raises:
        StaleVersionError: When the text to replace is not there just once.
    """
    path = folder / version.path
    text = path.read_text(encoding="utf-8")
    if text.count(version.old) != 1:
        problem = f"{version.path} has {text.count(version.old)} times {version.old!r}"
        raise StaleVersionError(problem, "bring this wrong version up to date with its mechanism")
    path.write_text(text.replace(version.old, version.new), encoding="utf-8")


def is_red(version: WrongVersion) -> bool:
    """Return whether the tests of a wrong version fail on it."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for part in _COPIED:
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(ROOT / part, folder / part, ignore=ignored)
        make_wrong(version, folder)
        return not _passes(version.tests, folder)


def _passes(tests: Iterable[str], folder: Path) -> bool:
    command = [sys.executable, "-P", "-m", "unittest", "-q", *tests]
    environment = {**os.environ, "PYTHONPATH": str(folder)}
    try:
        done = subprocess.run(
            command,
            cwd=folder,
            env=environment,
            capture_output=True,
            timeout=_LONGEST_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return False
    return done.returncode == 0


def main() -> int:
    """Run all wrong versions; returns the exit status, 1 when one stays green."""
    console = Console(width=120)
    table = Table("rule", "wrong version", "tests", "seen")
    green = 0
    for version in ALL_VERSIONS:
        red = is_red(version)
        green += not red
        tests = "\n".join(test.removeprefix("tests.") for test in version.tests)
        table.add_row(version.rule, version.what, tests, "red" if red else "GREEN")
    console.print(table)
    console.print(f"{len(ALL_VERSIONS) - green} red, {green} green")
    return 1 if green else 0


if __name__ == "__main__":
    sys.exit(main())
