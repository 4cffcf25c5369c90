"""Bodies and answers of the operators' port, as JSON.

Owns the form of answers and problems, and the bounds of what a call may send. Relies on msgspec for
JSON; the calls themselves are in `_read_calls` and `_write_calls`.
"""

from http import HTTPStatus
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..errors import ConfigurationError

_MAX_BODY = 2_000_000
"""Largest body of a call, in bytes: twice the megabyte that the platform holds."""

_MAX_NAME = 64
"""Longest name of an operator in the audit trail, in characters."""

_UNNAMED = "unnamed"


def operator_name(request: Request) -> str:
    """Return who makes a call, as the audit trail names them."""
    name = request.headers.get("sprucewinch-operator", _UNNAMED)
    return "".join(c for c in name if c.isprintable())[:_MAX_NAME] or _UNNAMED


async def json_body(request: Request) -> dict[str, Any]:
    """Read a call's body.

    Raises:
        ConfigurationError: When the body is too large or no JSON object.
    """
    received = bytearray()
    async for chunk in request.stream():
        received += chunk
        if len(received) > _MAX_BODY:
            raise ConfigurationError(
                f"the call has more than {_MAX_BODY} bytes", "send a smaller configuration"
            )
    try:
        decoded = msgspec.json.decode(bytes(received))
    except msgspec.MsgspecError as error:
        raise ConfigurationError(f"the call is no JSON: {error}", "send a JSON object") from None
    if not isinstance(decoded, dict):
        raise ConfigurationError("the call is no JSON object", "send a JSON object")
    return decoded


def json_answer(value: Any, status: int = HTTPStatus.OK) -> Response:
    """Return an answer with a JSON value."""
    return Response(msgspec.json.encode(value), status, media_type="application/json")


def problem_answer(status: int, problem: str, remedy: str, kind: str = "Refused") -> Response:
    """Return an answer that names a problem.

    Args:
        status: HTTP status.
        problem: What is wrong.
        remedy: What to do about it.
        kind: Name of the error's class, by which the command line raises it again.
    """
    return json_answer({"error": kind, "problem": problem, "remedy": remedy}, status)
