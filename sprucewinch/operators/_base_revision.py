"""The base revision of a configuration file: the revision that the file was edited from.

The module owns the comment that holds it. `config show` writes the comment as the first line of the
file and `config apply` reads it, so that a file edited from an old revision is refused.
"""

import re
from pathlib import Path
from typing import Optional

_COMMENT_FORMAT = "# base revision: {}"
_COMMENT_PATTERN = re.compile(r"^# base revision: (\d+)$", re.MULTILINE)


def base_revision_comment(revision: int) -> str:
    """Return the comment line for a revision."""
    return _COMMENT_FORMAT.format(revision)


def read_base_revision(path: Path) -> Optional[int]:
    """Return the base revision of a file; None when the file has no such comment."""
    match = _COMMENT_PATTERN.search(path.read_text(encoding="utf-8"))
    return int(match.group(1)) if match else None
