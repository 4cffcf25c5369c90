"""Reads request bodies and builds responses of the operators' port, as JSON.

The module owns the form of responses and errors, and the limits on what a request may send. It
relies on msgspec for JSON; the handlers are in `_read_handlers` and `_write_handlers`.
"""

from http import HTTPStatus
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..errors import ConfigurationError

_MAX_BODY_BYTES = 2_000_000
"""Largest request body: twice the megabyte that the platform stores in one value."""

_MAX_OPERATOR_NAME_CHARS = 64
"""Longest operator name kept in the audit trail; longer ones are cut."""

_UNNAMED_OPERATOR = "unnamed"


def operator_name(request: Request) -> str:
    """Return the name of the operator who sent a request, for the audit trail."""
    name = request.headers.get("sprucewinch-operator", _UNNAMED_OPERATOR)
    return (
        "".join(c for c in name if c.isprintable())[:_MAX_OPERATOR_NAME_CHARS] or _UNNAMED_OPERATOR
    )


async def json_body(request: Request) -> dict[str, Any]:
    """Read a request's body.

    Raises:
        ConfigurationError: When the body is too large or is not a JSON object.
    """
    received = bytearray()
    async for chunk in request.stream():
        received += chunk
        if len(received) > _MAX_BODY_BYTES:
            raise ConfigurationError(
                f"the request body has more than {_MAX_BODY_BYTES} bytes",
                "send a smaller configuration",
            )
    try:
        decoded = msgspec.json.decode(bytes(received))
    except msgspec.MsgspecError as error:
        raise ConfigurationError(
            f"the request body is not JSON: {error}", "send a JSON object"
        ) from None
    if not isinstance(decoded, dict):
        raise ConfigurationError("the request body is not a JSON object", "send a JSON object")
    return decoded


def json_response(value: Any, status: int = HTTPStatus.OK) -> Response:
    """Return a response with a JSON value."""
    return Response(msgspec.json.encode(value), status, media_type="application/json")


def error_response(status: int, problem: str, remedy: str, kind: str = "Refused") -> Response:
    """Return a response that describes an error.

    Args:
        status: HTTP status.
        problem: What is wrong.
        remedy: What to do about it.
        kind: Name of the error's class, which the command line raises again.
    """
    return json_response({"error": kind, "problem": problem, "remedy": remedy}, status)
