"""Calls to the operators' port of a daemon, for the command line.

Owns the connection's timeout and headers, and turns each answer's error back into the class that
the daemon named. A change whose answer is lost becomes `WriteUnknownError`: it may have been made.
Also reads the `/state` of a VM of the routed request path. Relies on aiohttp.
"""

import asyncio
import getpass
from http import HTTPStatus
from typing import Any, Optional

import aiohttp
import msgspec

from ..errors import (
    ConfigurationError,
    ConflictError,
    DaemonError,
    PlatformError,
    PolicyError,
    SprucewinchError,
    StaleStoreError,
    WriteUnknownError,
)
from ..net.address import is_address

_TIMEOUT_S = 15.0
"""Longest call, in seconds; a change takes several calls to the platform."""

_ERRORS: dict[str, type[SprucewinchError]] = {
    kind.__name__: kind
    for kind in (
        ConfigurationError,
        ConflictError,
        PlatformError,
        PolicyError,
        StaleStoreError,
        WriteUnknownError,
    )
}
"""Errors that a daemon may name, by the name in its answer; any other is a `DaemonError`."""


class OperatorClient:
    """Calls one entry VM's operators' port.

    Args:
        address: `IP:PORT`.
        token: The VM's `operators_token`.
        operator: Name for the audit trail; the user's by default.

    Raises:
        DaemonError: When the address is no `IP:PORT`, or the token is missing.
    """

    def __init__(self, address: str, token: str, *, operator: Optional[str] = None) -> None:
        if not is_address(address):
            raise DaemonError(
                f"{address!r} is no address",
                "set --vm or SPRUCEWINCH_VM to IP:PORT of an operators' port",
            )
        if not token:
            raise DaemonError("no token", "set SPRUCEWINCH_TOKEN to the VM's operators_token")
        self.address = address
        self.token = token
        self.operator = operator or getpass.getuser()

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Make a call.

        Args:
            method: HTTP method.
            path: Path and query.
            body: JSON value.

        Returns:
            The answer's JSON value.

        Raises:
            SprucewinchError: Of the class that the daemon named.
            DaemonError: When the daemon cannot be reached; nothing was changed.
            WriteUnknownError: When a change's answer is lost.
        """
        return asyncio.run(self._call(method, path, body))

    def get(self, path: str) -> Any:
        """Make a call that reads; see `call`."""
        return self.call("GET", path)

    async def _call(self, method: str, path: str, body: Any) -> Any:
        headers = {
            "authorization": f"Bearer {self.token}",
            "sprucewinch-operator": self.operator,
        }
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        url = f"http://{self.address}{path}"
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
                session.request(method, url, data=data) as response,
            ):
                status, answer = response.status, msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise self._lost(method, error) from None
        except msgspec.MsgspecError:
            raise DaemonError(
                f"{self.address} did not answer as an operators' port does",
                "check that --vm names the operators_address",
            ) from None
        if status == HTTPStatus.OK:
            return answer
        kind = _ERRORS.get(answer.get("error", ""), DaemonError)
        raise kind(str(answer.get("problem")), str(answer.get("remedy")))

    def _lost(self, method: str, error: Exception) -> SprucewinchError:
        refused = isinstance(error, aiohttp.ClientConnectorError)
        if method == "GET" or refused:
            return DaemonError(
                f"{self.address} does not answer ({type(error).__name__})",
                "check that the daemon runs, or name another VM with --vm",
            )
        return WriteUnknownError(
            f"{self.address} went away during the call; the change may have been made",
            "look with: sprucewinch audit",
        )


def read_state(address: str) -> Any:
    """Return the state of a VM of the routed request path.

    Args:
        address: `IP:PORT` of its metrics listener.

    Raises:
        DaemonError: When the address is none, or gives no state.
    """
    if not is_address(address):
        raise DaemonError(f"{address!r} is no address", "give IP:PORT of a metrics listener")
    return asyncio.run(_read_state(address))


async def _read_state(address: str) -> Any:
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{address}/state") as response,
        ):
            return msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
        raise DaemonError(
            f"{address}: no state: {type(error).__name__}", "check that the VM runs"
        ) from None
