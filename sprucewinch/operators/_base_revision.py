"""The revision that a configuration file was made from, kept in its first comment.

Owns the form of that comment: `config show` writes it, `config apply` reads it, so that a file
edited from an old revision is refused. Relies on nothing.
"""

import re
from pathlib import Path
from typing import Optional

_LINE = "# base revision: {}"
_PATTERN = re.compile(r"^# base revision: (\d+)$", re.MULTILINE)


def base_line(revision: int) -> str:
    """Return the comment that names a revision."""
    return _LINE.format(revision)


def read_base(path: Path) -> Optional[int]:
    """Return the revision that a file names; None when it names none."""
    found = _PATTERN.search(path.read_text(encoding="utf-8"))
    return int(found.group(1)) if found else None
