"""Client of the store over HTTP and JSON, with values in base64.

`HttpStore` owns one HTTP session and the maximum size of an answer, and counts the calls. It relies
on `net.http_client`, which never resends a request, and raises `PlatformError` for every failure,
or `WriteUnknownError` when the answer to a write was lost.
"""

import base64
from typing import Any, Optional, TypeVar, Union

import aiohttp
import msgspec

from ...errors import PlatformError, WriteUnknownError
from ...net.http_client import AnswerTooLongError, make_session
from .store import Entry, Store, VersionMismatch, VmListing, Written

_Answer = TypeVar("_Answer")

_CALL_TIMEOUT_S = 3.0
"""Longest time for a call, in seconds; the wait of a watch is added to it."""

_MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Maximum size of an answer, in bytes: eleven values of the maximum size, as base64."""

_REMEDY = "check that the platform's service is running, then try again"
_TOO_LONG_REMEDY = "check which service listens at the platform's address, and what it answers"
_STATUS_CONFLICT = 409
"""HTTP status: the key holds another version than expected."""

_STATUS_TOO_MANY_REQUESTS = 429
"""HTTP status: the rate limit is reached."""

_STATUS_OK = 200
"""HTTP status: success."""

_STATUS_NOT_FOUND = 404
"""HTTP status: the key holds no value."""


class _StoredValue(msgspec.Struct):
    """One value as the service sends it; `value` is base64 text."""

    key: str
    version: int
    value: str

    def entry(self) -> Entry:
        return Entry(self.key, self.version, base64.b64decode(self.value))


class _StoredValues(msgspec.Struct):
    """The answer to a watch."""

    entries: list[_StoredValue]


class _Version(msgspec.Struct):
    """The answer to a write: the version written, or that of the value that the key holds."""

    version: int


class _LeaseAnswer(msgspec.Struct):
    """The answer to a request for a lease."""

    held: bool


class _VmRow(msgspec.Struct):
    """One row of the list of VMs."""

    kind: str
    address: str
    leaving: bool


class _Vms(msgspec.Struct):
    """The list of VMs."""

    vms: list[_VmRow]


class HttpStore(Store):
    """A client of the store.

    Args:
        address: `IP:PORT`.
        timeout_s: Longest time for a call, in seconds, without the wait of a watch.
    """

    def __init__(self, address: str, *, timeout_s: float = _CALL_TIMEOUT_S) -> None:
        self.base = f"http://{address}"
        self.timeout_s = timeout_s
        self.calls = 0
        self._session: Optional[aiohttp.ClientSession] = None

    async def get(self, key: str) -> Optional[Entry]:
        """Return the entry of a key."""
        status, body = await self._call("GET", f"/v1/values/{key}")
        if status == _STATUS_NOT_FOUND:
            return None
        return self._decode(status, body, _StoredValue).entry()

    async def put(self, key: str, value: bytes, expected: int) -> Union[Written, VersionMismatch]:
        """Write a value if the key holds the expected version."""
        params = {"expected": str(expected)}
        status, body = await self._call("PUT", f"/v1/values/{key}", params, value, writes=True)
        if status == _STATUS_CONFLICT:
            return VersionMismatch(msgspec.convert(body, _Version).version)
        return Written(self._decode(status, body, _Version).version)

    async def watch(self, prefix: str, after: int, wait_s: float) -> list[Entry]:
        """Wait for entries under a prefix that are newer than a version."""
        params = {"prefix": prefix, "after": str(after), "wait_s": str(wait_s)}
        status, body = await self._call("GET", "/v1/watch", params, wait_s=wait_s)
        return [row.entry() for row in self._decode(status, body, _StoredValues).entries]

    async def lease(self, name: str, holder: str, ttl_s: float) -> bool:
        """Take or renew a lease."""
        params = {"holder": holder, "ttl_s": str(ttl_s)}
        status, body = await self._call("POST", f"/v1/leases/{name}", params)
        return self._decode(status, body, _LeaseAnswer).held

    async def release(self, name: str, holder: str) -> None:
        """Release a lease."""
        status, body = await self._call("DELETE", f"/v1/leases/{name}", {"holder": holder})
        self._decode(status, body, object)

    async def members(self) -> list[VmListing]:
        """Return the list of live and leaving VMs."""
        status, body = await self._call("GET", "/v1/vms")
        rows = self._decode(status, body, _Vms).vms
        return [VmListing(row.kind, row.address, row.leaving) for row in rows]

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def _call(
        self,
        method: str,
        path: str,
        params: Optional[dict[str, str]] = None,
        data: Optional[bytes] = None,
        *,
        wait_s: float = 0.0,
        writes: bool = False,
    ) -> tuple[int, Any]:
        if self._session is None:
            self._session = make_session(max_answer_bytes=_MAX_ANSWER_BYTES)
        self.calls += 1
        timeout = aiohttp.ClientTimeout(total=self.timeout_s + wait_s)
        url = self.base + path
        try:
            async with self._session.request(
                method, url, params=params, data=data, timeout=timeout
            ) as response:
                return response.status, msgspec.json.decode(await response.read())
        except aiohttp.ClientConnectorError:
            raise PlatformError("the platform cannot be reached", _REMEDY) from None
        except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
            problem = f"no usable answer from the platform: {type(error).__name__}"
            if writes:
                raise WriteUnknownError(
                    problem, "read the value back to see whether it was written"
                ) from None
            too_long = isinstance(error, AnswerTooLongError)
            raise PlatformError(problem, _TOO_LONG_REMEDY if too_long else _REMEDY) from None

    def _decode(self, status: int, body: Any, answer: type[_Answer]) -> _Answer:
        """Return the body of an answer, converted to a type.

        Raises:
            PlatformError: When the status is not 200.
        """
        if status == _STATUS_OK:
            return msgspec.convert(body, answer)
        retry_after_s = float(body.get("retry_after_s", 0)) if isinstance(body, dict) else 0.0
        problem = (
            "the platform's rate limit is reached"
            if status == _STATUS_TOO_MANY_REQUESTS
            else "the platform refused the call"
        )
        raise PlatformError(f"{problem} (status {status})", _REMEDY, retry_after_s)
