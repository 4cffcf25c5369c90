"""Reads the length of a request's body from its headers.

Owns nothing else; the parser has checked the header already.
"""

from typing import Any, Optional


def content_length(scope: dict[str, Any]) -> Optional[int]:
    """Return the length of a body as the headers of its ASGI scope state it, in bytes.

    Args:
        scope: ASGI scope of the request.

    Returns:
        The length; None when the headers state none, as of a body in chunks.
    """
    for name, value in scope["headers"]:
        if name == b"content-length" and value.isdigit():
            return int(value)
    return None
