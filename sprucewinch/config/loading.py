"""Reads configurations from files, from operators' calls and from the platform, and checks them.

Owns the order of decoding and checking: no other module receives a configuration that has not been
checked. Relies on `toml_decode` for TOML and its messages, on `_check` for what types cannot
express, and on `configuration` for the types.
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
        ConfigurationError: On one line, with the file, the key, what was found and what to write.
    """
    tables = read_toml(path, ConfigurationError)
    configuration = decode(tables, Configuration, str(path), ConfigurationError)
    check_configuration(configuration, str(path))
    return configuration


def parse_configuration(tables: dict, source: str) -> Configuration:
    """Decode and check a configuration that does not come from a file.

    Args:
        tables: The configuration, as decoded JSON or TOML.
        source: Where it comes from, for messages.

    Returns:
        The configuration.

    Raises:
        ConfigurationError: As for `load_configuration`.
    """
    configuration = decode(tables, Configuration, source, ConfigurationError)
    check_configuration(configuration, source)
    return configuration


def encode_document(document: Document) -> bytes:
    """Encode a document for the platform and for peers, as JSON."""
    return msgspec.json.encode(document)


def decode_document(value: bytes) -> Document:
    """Decode and check a document.

    Args:
        value: Bytes from the platform or a peer.

    Returns:
        The document.

    Raises:
        ConfigurationError: When the bytes are not a complete, valid document.
    """
    try:
        document = msgspec.json.decode(value, type=Document)
    except msgspec.MsgspecError as error:
        raise ConfigurationError(
            f"stored configuration: {error}", "apply a valid configuration again"
        ) from None
    check_configuration(document.configuration, "stored configuration")
    return document
