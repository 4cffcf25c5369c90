"""Fingerprints of requests: equal for requests of the same caller, method, target and body.

This module owns what a fingerprint covers. Ids, deadlines and trace headers differ between attempts
of one request and are left out. All other headers that are passed on are included, because some of
them identify the caller, and no caller may get another caller's request refused. `target_hash` is a
cheap first test, so that a body is hashed only where the target belongs to a suspect: 1 MB takes
1 ms of CPU (mean of 50 digests). The module relies on `hashlib`. VMs of all versions must compute
the same values, so the algorithm does not change.
"""

import hashlib
from collections.abc import Iterable
from typing import Optional, Protocol, Union

from ..._hash import hash64

_DIGEST_BYTES = 16
"""Length of a fingerprint, in bytes; finding a collision is infeasible."""

_LENGTH_BYTES = 8
"""Size of the length that precedes each part, in bytes, so that different lists of parts never give
the same input."""

_TRACE_HEADERS = frozenset(
    ("traceparent", "tracestate", "baggage", "b3", "x-b3-traceid", "x-b3-spanid", "x-b3-sampled")
)
"""Headers that identify one attempt for tracing: W3C Trace Context, Baggage and B3."""


def target_hash(method: str, host: str, target: str) -> int:
    """Return a hash of a request's target, in `[0, 2**64)`; equal requests share it.

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
    body: Union[bytes, bytearray],
    *,
    id_header: str,
) -> bytes:
    """Return the digest that identifies a request and all equal ones.

    Args:
        method: HTTP method.
        host: Value of the `Host` header.
        target: Path and query.
        headers: Headers that are passed on, names in lower case.
        body: The whole body.
        id_header: Header that identifies one attempt; it is left out.
    """
    digest = hashlib.sha256()
    kept = sorted(h for h in headers if h[0] != id_header and h[0] not in _TRACE_HEADERS)
    words = [method, host.lower(), target, *(word for header in kept for word in header)]
    for part in (*(word.encode("latin-1", "replace") for word in words), body):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.digest()[:_DIGEST_BYTES]


class FingerprintedRequest(Protocol):
    """The parts of a request that a fingerprint covers; it caches the computed values."""

    method: str
    host: str
    path: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: Union[bytes, bytearray]
    target_hash: Optional[int]
    fingerprint: Optional[bytes]
    on_trial: bool


class Fingerprinter:
    """Computes the fingerprints of requests.

    Args:
        id_header: Header that identifies one attempt of a request.
    """

    __slots__ = ("id_header",)

    def __init__(self, id_header: str) -> None:
        self.id_header = id_header

    def target_of(self, request: FingerprintedRequest) -> int:
        """Return the hash of a request's target, see `target_hash`."""
        if request.target_hash is None:
            request.target_hash = target_hash(request.method, request.host, request.target)
        return request.target_hash

    def fingerprint_of(self, request: FingerprintedRequest) -> bytes:
        """Return the digest that identifies a request and all equal ones, see `fingerprint`."""
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
