"""Mutation test: checks that the tests of the platform's rules fail on faulty mechanisms.

    python -m tools.wrong_versions

Each wrong version is a copy of the sources with a fault put in at one place. The tests of the rule
that the fault breaks run on the copy and have to fail; if they pass, they do not check the rule.
This module makes the copies and runs the tests; `wrong_version_list` and the modules beside
it list the versions.
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

from .wrong_connection_versions import CONNECTION_VERSIONS
from .wrong_era_versions import ERA_VERSIONS
from .wrong_link_versions import LINK_VERSIONS
from .wrong_load_versions import LOAD_VERSIONS
from .wrong_statement_versions import STATEMENT_VERSIONS
from .wrong_version_list import VERSIONS, WrongVersion
from .wrong_workspace_versions import WORKSPACE_VERSIONS

ALL_VERSIONS = (
    *VERSIONS,
    *WORKSPACE_VERSIONS,
    *STATEMENT_VERSIONS,
    *CONNECTION_VERSIONS,
    *LOAD_VERSIONS,
    *LINK_VERSIONS,
    *ERA_VERSIONS,
)

ROOT = Path(__file__).resolve().parent.parent
_COPIED = ("sprucewinch", "platform", "standins", "tests", "tools")
_RUN_TIMEOUT_S = 180.0
"""Timeout of the tests of one wrong version; a timeout counts as a failure."""


class StaleVersionError(SprucewinchError):
    """The text that a wrong version replaces does not occur exactly once in its file."""


def make_wrong(version: WrongVersion, folder: Path) -> None:
    """Put the fault of a wrong version into a copy of the sources.

    Args:
        version: The wrong version.
        folder: Root of the copy.

    Raises:
        StaleVersionError: When the text to replace does not occur exactly once.
    """
    path = folder / version.path
    text = path.read_text(encoding="utf-8")
    if text.count(version.old) != 1:
        problem = f"{version.path} has {text.count(version.old)} times {version.old!r}"
        raise StaleVersionError(
            problem, "update the quoted text of this wrong version to the present source"
        )
    path.write_text(text.replace(version.old, version.new), encoding="utf-8")


def is_red(version: WrongVersion) -> bool:
    """Return whether the tests of a wrong version fail on it, as they should."""
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
            timeout=_RUN_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return False
    return done.returncode == 0


def main() -> int:
    """Test all wrong versions and print a table; returns 1 when the tests of one pass, else 0."""
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
