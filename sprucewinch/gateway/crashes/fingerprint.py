"""What names a request that comes again: the same caller, method, target and body.

Owns the choice of what counts. Ids, deadlines and trace headers differ with each attempt of a
request and do not count; all other headers that are passed on do, as some of them tell the caller,
and no caller may have another's request turned away. `target_hash` is a cheap first look, so that
a body is digested only where the target is known to belong to a suspect: 1 MB takes 1 ms of a core
(mean of 50 digests). Relies on `hashlib`; VMs of all versions must agree, so it stays.
"""

import hashlib
from collections.abc import Iterable
from typing import Optional, Protocol

from ..._hash import hash64

_DIGEST_BYTES = 16
"""Length of a fingerprint, in bytes: nobody finds two requests with the same one."""

_LENGTH_BYTES = 8
"""Bytes of the length before each part, so that no two lists of parts read alike."""

_TRACE_HEADERS = frozenset(
    ("traceparent", "tracestate", "baggage", "b3", "x-b3-traceid", "x-b3-spanid", "x-b3-sampled")
)
"""Headers that name one attempt for tracing, by the usual standards."""


def target_hash(method: str, host: str, target: str) -> int:
    """Return a hash of what a request is for, in `[0, 2**64)`; equal requests share it.

    Args:
        method: HTTP method.
        host: Value of the `Host` header.
        target: Path and query.
    """
    return hash64(f"{method} {host.lower()} {target}")


def fingerprint(
    method: str,
    host: str,
    target: str,
    headers: Iterable[tuple[str, str]],
    body: bytes,
    *,
    id_header: str,
) -> bytes:
    """Return the digest that names a request and all equal ones.

    Args:
        method: HTTP method.
        host: Value of the `Host` header.
        target: Path and query.
        headers: Headers that are passed on, names in lower case.
        body: The whole body.
        id_header: Header that names one attempt; it does not count.
    """
    digest = hashlib.sha256()
    kept = sorted(h for h in headers if h[0] != id_header and h[0] not in _TRACE_HEADERS)
    words = [method, host.lower(), target, *(word for header in kept for word in header)]
    for part in (*(word.encode("latin-1", "replace") for word in words), body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()[:_DIGEST_BYTES]


class NamedRequest(Protocol):
    """A request as far as it is named; it keeps what was worked out once."""

    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    target_hash: Optional[int]
    fingerprint: Optional[bytes]
    on_trial: bool


class RequestNames:
    """Names requests.

    Args:
        id_header: Header that names one attempt of a request.
    """

    __slots__ = ("id_header",)

    def __init__(self, id_header: str) -> None:
        self.id_header = id_header

    def target_of(self, request: NamedRequest) -> int:
        """Return the hash of what a request is for."""
        if request.target_hash is None:
            request.target_hash = target_hash(request.method, request.host, request.target)
        return request.target_hash

    def fingerprint_of(self, request: NamedRequest) -> bytes:
        """Return what names a request and all equal ones."""
        if request.fingerprint is None:
            request.fingerprint = fingerprint(
                request.method,
                request.host,
                request.target,
                request.headers,
                request.body,
                id_header=self.id_header,
            )
        return request.fingerprint
