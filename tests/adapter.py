"""Adds the folder `platform/` to the import path, so that tests import its modules by name."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent.parent / "platform"

if str(FOLDER) not in sys.path:
    sys.path.append(str(FOLDER))
