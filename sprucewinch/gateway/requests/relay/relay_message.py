"""A request that one entry VM passes to another, and the answer to it, as HTTP.

The request is the caller's own, with `RELAY_PREFIX` before its target and the headers below beside
its own; its API key is replaced by the name of the workspace that it proved. The answer is the
backend server's own with the header `OUTCOME`, or an answer of the VM that was asked. A VM of an
older version has no such path, and answers without that header.

The names have the prefix of this system's own headers, which are not forwarded to backend servers
or callers (`net.request.end_to_end`). Owns the names and the encoding. Relies on `net.connection`
for the types. Tests: `test_gateway_relay`.
"""

import enum
from collections.abc import Collection
from http import HTTPStatus
from typing import NamedTuple, Optional

from ....net.connection import Answer
from ..client_request import ClientRequest

RELAY_PREFIX = "/relay"
"""Path on the listener for other VMs, before the target of a request that is passed on."""

SENDER = "sprucewinch-relay-sender"
"""Request header: name of the VM that passes the request on."""

WORKSPACE = "sprucewinch-relay-workspace"
"""Request header: workspace of the caller, whose key and quota were checked."""

VERSION = "sprucewinch-relay-version"
"""Header of requests and answers: newest version of the configuration that the VM has acted by."""

RUNS = "sprucewinch-relay-runs"
"""Request header: backend servers on which the request may have run before."""

COUNTED = "sprucewinch-relay-counted"
"""Request header: 1 when the VM that passes the request on has counted it for the retry budget."""

OUTCOME = "sprucewinch-relay-outcome"
"""Answer header: a `RelayOutcome`."""

_NOT_READ = frozenset(
    (
        HTTPStatus.NOT_FOUND,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
"""Statuses of answers without an outcome by which a listener refuses a request unread."""


class RelayOutcome(enum.Enum):
    """What became of a request at the VM that it was passed to."""

    ANSWERED = "answered"
    """A backend server's own answer follows."""
    REFUSED = "refused"
    """The VM answers itself, as it would answer its own caller."""
    NOT_TAKEN = "not-taken"
    """The VM has no link or no room; the request did not run and may be passed to another one."""
    UNKNOWN = "unknown"
    """It may have run. No VM sends this."""


class RelayedRequest(NamedTuple):
    """What another VM states of a request that it passes on.

    Args:
        sender: Name of that VM.
        workspace: Name of the caller's workspace; empty when it needs none.
        earlier_runs: Backend servers on which the request may have run.
        version: Version of the configuration that its caller may have seen in effect.
        counted: True when that VM has counted it for the retry budget.
    """

    sender: str
    workspace: str = ""
    earlier_runs: int = 0
    version: int = 0
    counted: bool = False


def encode_request(
    request: ClientRequest, sender: str, version: int, deadline_header: str, left_ms: int
) -> bytes:
    """Return the head of a request to another VM; its body follows.

    Args:
        request: The request.
        sender: Name of this VM.
        version: Newest version of the configuration that this VM has acted by.
        deadline_header: Name of the header that states the time left.
        left_ms: Time left, in milliseconds.
    """
    lines = [f"{request.method} {RELAY_PREFIX}{request.target} HTTP/1.1", f"host: {request.host}"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    lines += [f"{deadline_header}: {left_ms}", f"{SENDER}: {sender}"]
    lines += [f"{VERSION}: {version}", f"{RUNS}: {request.possible_runs()}"]
    lines.append(f"{COUNTED}: {int(request.counted)}")
    if request.caller.workspace is not None:
        lines.append(f"{WORKSPACE}: {request.caller.workspace.name}")
    lines.append(f"content-length: {len(request.body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def read_request(headers: Collection[tuple[bytes, bytes]]) -> RelayedRequest:
    """Return what the headers of a request on the listener for other VMs state."""
    stated = {name.decode("latin-1"): value.decode("latin-1") for name, value in headers}
    return RelayedRequest(
        stated.get(SENDER, ""),
        stated.get(WORKSPACE, ""),
        _whole_number(stated.get(RUNS)),
        _whole_number(stated.get(VERSION)),
        bool(_whole_number(stated.get(COUNTED))),
    )


def read_version(answer: Answer) -> int:
    """Return the version of the configuration that a VM states with its answer; 0 for none."""
    return _whole_number(answer.header(VERSION))


def read_outcome(answer: Answer) -> RelayOutcome:
    """Return what an answer of another VM says of the request."""
    stated: Optional[str] = answer.header(OUTCOME)
    if stated is None:
        return RelayOutcome.NOT_TAKEN if answer.status in _NOT_READ else RelayOutcome.UNKNOWN
    try:
        return RelayOutcome(stated)
    except ValueError:
        # A VM of a later version may know further outcomes.
        return RelayOutcome.UNKNOWN


def _whole_number(text: Optional[str]) -> int:
    """Return the number in a header; 0 where it is absent or malformed."""
    return int(text) if text and text.isascii() and text.isdigit() else 0
