"""Reads configurations from files, from operators' calls and from the platform, and checks them.

Owns the order decode, then check: nothing outside this module holds a configuration that was read
and not checked. Relies on `toml_decode` for TOML and its messages, on `_check` for what types
alone cannot say, and on `configuration` for the types.
"""

from pathlib import Path

import msgspec

from ..errors import ConfigurationError
from ._check import check_configuration
from .configuration import Configuration, Document
from .toml_decode import decode, read_toml


def load_configuration(path: Path) -> Configuration:
    """Read and check a configuration file.

    Args:
        path: A TOML file.

    Returns:
        The configuration.

    Raises:
        ConfigurationError: One line naming file, key, what was found and what to write.
    """
    tables = read_toml(path, ConfigurationError)
    configuration = decode(tables, Configuration, str(path), ConfigurationError)
    check_configuration(configuration, str(path))
    return configuration


def parse_configuration(tables: dict, source: str) -> Configuration:
    """Decode and check tables that do not come from a file.

    Args:
        tables: The configuration as plain tables.
        source: Where they come from, for messages.

    Returns:
        The configuration.

    Raises:
        ConfigurationError: As for `load_configuration`.
    """
    configuration = decode(tables, Configuration, source, ConfigurationError)
    check_configuration(configuration, source)
    return configuration


def encode_document(document: Document) -> bytes:
    """Encode a document for the platform and for peers."""
    return msgspec.json.encode(document)


def decode_document(value: bytes) -> Document:
    """Decode and check a document.

    Args:
        value: Bytes from the platform or a peer.

    Returns:
        The document.

    Raises:
        ConfigurationError: When the bytes are not a whole, consistent document.
    """
    try:
        document = msgspec.json.decode(value, type=Document)
    except msgspec.MsgspecError as error:
        raise ConfigurationError(
            f"stored configuration: {error}", "apply a valid configuration again"
        ) from None
    check_configuration(document.configuration, "stored configuration")
    return document
