"""Judges single answers: each must belong to its request, be complete and have a fitting status.

Owns the promises MIXED, DENIED, FAULT, COME BACK and INNOCENT. Relies on `backend_servers` for the
answer body that belongs to one request only.
"""

from collections.abc import Mapping
from http import HTTPStatus

from standins.scripted_server import Run

from ..backend_servers import body_of
from ..configuration import STANDING_ROUTES, WORKSPACES, first_key
from ..ledger import Attempt, Ledger

_FAULT = HTTPStatus.INTERNAL_SERVER_ERROR
"""Status that no part of the system generates itself."""

_FORBIDDEN = (400, 401, 403, 404, 413, 431)
"""Statuses that no request of these callers may get on a permanent route."""

_COME_BACK = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
"""Statuses that need a `Retry-After` header."""

_STANDING_KEYS = frozenset(map(first_key, WORKSPACES))
"""API keys that are valid in every version."""

_CRASHES_SERVERS = b"crashes-servers"
"""Refusal reason that no request of these callers may get."""

_SIGNATURE = "X-Response-Signature"
"""Header that identifies the answers of backend servers."""


def judge_answer(ledger: Ledger, attempt: Attempt, body: bytes, headers: Mapping[str, str]) -> None:
    """Judge one answer, and record the promise that it breaks, if any."""
    request_id, status = attempt.request_id, attempt.status
    if status == HTTPStatus.OK:
        if not _is_own(attempt, body, headers):
            ledger.record_broken("MIXED", f"{request_id} got {body[:60]!r}")
    elif status == HTTPStatus.UNAUTHORIZED and attempt.key not in _STANDING_KEYS:
        return  # `workspaces` judges this, as it knows the versions.
    elif status in _FORBIDDEN and attempt.route in STANDING_ROUTES:
        ledger.record_broken("DENIED", f"{request_id} got {status}")
    elif status == _FAULT and _SIGNATURE not in headers:
        ledger.record_broken("FAULT", f"{request_id} at {attempt.vm} got {_FAULT:d}")
    elif status in _COME_BACK and "Retry-After" not in headers:
        ledger.record_broken("COME BACK", f"{request_id} got no Retry-After header")
    elif status == HTTPStatus.SERVICE_UNAVAILABLE and _CRASHES_SERVERS in body:
        ledger.record_broken(
            "INNOCENT", f"{request_id} was refused as a request that crashes servers"
        )


def _is_own(attempt: Attempt, body: bytes, headers: Mapping[str, str]) -> bool:
    run = Run(attempt.request_id, "", f"/{attempt.route}/", b"", {}, 0.0)
    return body == body_of(run) and headers.get(_SIGNATURE, "").endswith(f".{run.request_id}")
