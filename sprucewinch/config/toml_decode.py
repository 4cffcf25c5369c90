"""Decoding of TOML files into typed structs, with errors of one line.

Owns the translation of msgspec's messages into ones that name file, key, what was found and what to
write. Knows nothing of what a file is for: the caller gives the struct type and the error type.
Relies on `tomllib` and msgspec; the patterns below match msgspec's wording.
"""

import re
import tomllib
from pathlib import Path
from typing import TypeVar

import msgspec

from ..errors import SprucewinchError

T = TypeVar("T", bound=msgspec.Struct)

_UNKNOWN_FIELD = re.compile(r"unknown field `([^`]+)`")
_MISSING_FIELD = re.compile(r"missing required field `([^`]+)`")
_LOCATION = re.compile(r" - at `\$?\.?([^`]*)`")


def read_toml(path: Path, kind: type[SprucewinchError]) -> dict:
    """Read a TOML file.

    Args:
        path: The file.
        kind: Error type to raise.

    Returns:
        The parsed tables.

    Raises:
        SprucewinchError: Of type `kind`, when the file cannot be read or parsed.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise kind(f"{path}: {error.strerror}", "give the path of a readable TOML file") from None
    except UnicodeDecodeError:
        raise kind(f"{path}: not UTF-8 text", "save the file as UTF-8") from None
    except tomllib.TOMLDecodeError as error:
        raise kind(f"{path}: {error}", "correct the TOML syntax there") from None


def decode(tables: dict, shape: type[T], source: str, kind: type[SprucewinchError]) -> T:
    """Check parsed tables against a struct type.

    Args:
        tables: Parsed TOML or JSON.
        shape: Struct type to build.
        source: Name of the file, for messages.
        kind: Error type to raise.

    Returns:
        The struct.

    Raises:
        SprucewinchError: Of type `kind`; names file, key, what was found, and what to write.
    """
    try:
        return msgspec.convert(tables, shape)
    except msgspec.ValidationError as error:
        raise _explain(str(error), shape, source, kind) from None


def _explain(
    message: str, shape: type[msgspec.Struct], source: str, kind: type[SprucewinchError]
) -> SprucewinchError:
    found = _LOCATION.search(message)
    where = found.group(1) if found else ""
    text = _LOCATION.sub("", message)
    if unknown := _UNKNOWN_FIELD.search(text):
        key = ".".join(filter(None, [where, unknown.group(1)]))
        known = ", ".join(_fields_at(shape, where))
        return kind(f"{source}: {key}: unknown key", f"write one of: {known}")
    if missing := _MISSING_FIELD.search(text):
        key = ".".join(filter(None, [where, missing.group(1)]))
        return kind(f"{source}: {key}: missing", f"add the key {missing.group(1)}")
    return kind(f"{source}: {where or 'file'}: {text}", "write a value of the expected kind")


def _fields_at(shape: type[msgspec.Struct], where: str) -> list[str]:
    current: object = shape
    for part in filter(None, re.split(r"\.|\[[^\]]*\]", where)):
        current = _member_type(current, part)
    fields = getattr(current, "__struct_encode_fields__", None)
    return list(fields) if fields else ["the keys that docs/OPERATORS.md lists"]


def _member_type(shape: object, name: str) -> object:
    for field in msgspec.structs.fields(shape):  # type: ignore[arg-type]
        if field.encode_name != name:
            continue
        arguments = [a for a in getattr(field.type, "__args__", ()) if isinstance(a, type)]
        structs = [a for a in arguments if issubclass(a, msgspec.Struct)]
        return structs[0] if structs else field.type
    return None
