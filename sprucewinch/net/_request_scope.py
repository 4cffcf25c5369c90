"""Fills in the ASGI scope of a request from what its parser has read.

Owns the translation of a request's line into the fields of the scope; the headers are in it
already. Relies on httptools for the URL. Tests: tests/test_pipelined_protocol.py.
"""

import urllib.parse
from typing import Any

import httptools


def complete_scope(
    scope: dict[str, Any], parser: httptools.HttpRequestParser, url: bytes, root_path: str
) -> None:
    """Fill in the method, the target and the version.

    Args:
        scope: The scope so far.
        parser: The parser, at the end of the headers.
        url: The target as it was sent.
        root_path: Path under which the application is mounted.
    """
    http_version = parser.get_http_version()
    if http_version != "1.1":
        scope["http_version"] = http_version
    parsed = httptools.parse_url(url)
    scope["method"] = parser.get_method().decode("ascii")
    path = parsed.path.decode("ascii")
    scope["path"] = root_path + (urllib.parse.unquote(path) if "%" in path else path)
    scope["raw_path"] = root_path.encode("ascii") + parsed.path
    scope["query_string"] = parsed.query or b""
