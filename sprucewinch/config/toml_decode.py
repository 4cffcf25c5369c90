"""Decodes TOML files into typed structs, with error messages of one line.

Owns the translation of msgspec's messages into ones that state the file, the key, what was found
and what to write. The caller gives the struct type and the error type, so that this module is
independent of what a file is for. Relies on `tomllib` and msgspec; the patterns below match
msgspec's wording.
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


def read_toml(path: Path, error_type: type[SprucewinchError]) -> dict:
    """Read a TOML file.

    Args:
        path: The file.
        error_type: Error type to raise.

    Returns:
        The parsed tables.

    Raises:
        SprucewinchError: Of type `error_type`, when the file cannot be read or parsed.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise error_type(
            f"{path}: {error.strerror}", "give the path of a readable TOML file"
        ) from None
    except UnicodeDecodeError:
        raise error_type(f"{path}: not UTF-8 text", "save the file as UTF-8") from None
    except tomllib.TOMLDecodeError as error:
        raise error_type(f"{path}: {error}", "correct the TOML syntax there") from None


def decode(
    tables: dict, struct_type: type[T], source: str, error_type: type[SprucewinchError]
) -> T:
    """Convert parsed tables to a struct.

    Args:
        tables: Parsed TOML or JSON.
        struct_type: Struct type to build.
        source: Name of the file or other source, for messages.
        error_type: Error type to raise.

    Returns:
        The struct.

    Raises:
        SprucewinchError: Of type `error_type`, when the tables do not match the struct type; states
            the file, the key, what was found and what to write.
    """
    try:
        return msgspec.convert(tables, struct_type)
    except msgspec.ValidationError as error:
        raise _translated_error(str(error), struct_type, source, error_type) from None


def _translated_error(
    message: str, struct_type: type[msgspec.Struct], source: str, error_type: type[SprucewinchError]
) -> SprucewinchError:
    location = _LOCATION.search(message)
    where = location.group(1) if location else ""
    text = _LOCATION.sub("", message)
    if unknown := _UNKNOWN_FIELD.search(text):
        key = ".".join(filter(None, [where, unknown.group(1)]))
        known = ", ".join(_fields_at(struct_type, where))
        return error_type(f"{source}: {key}: unknown key", f"write one of: {known}")
    if missing := _MISSING_FIELD.search(text):
        key = ".".join(filter(None, [where, missing.group(1)]))
        return error_type(f"{source}: {key}: missing", f"add the key {missing.group(1)}")
    return error_type(f"{source}: {where or 'file'}: {text}", "write a value of the expected kind")


def _fields_at(struct_type: type[msgspec.Struct], where: str) -> list[str]:
    current: object = struct_type
    for part in filter(None, re.split(r"\.|\[[^\]]*\]", where)):
        current = _field_type(current, part)
    fields = getattr(current, "__struct_encode_fields__", None)
    return list(fields) if fields else ["the keys that docs/OPERATORS.md lists"]


def _field_type(struct_type: object, name: str) -> object:
    for field in msgspec.structs.fields(struct_type):  # type: ignore[arg-type]
        if field.encode_name != name:
            continue
        type_arguments = [a for a in getattr(field.type, "__args__", ()) if isinstance(a, type)]
        structs = [a for a in type_arguments if issubclass(a, msgspec.Struct)]
        return structs[0] if structs else field.type
    return None
