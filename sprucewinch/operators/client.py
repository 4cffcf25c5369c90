"""Client of a daemon's operators' port, for the command line.

The module owns the timeout and headers of requests and the size of responses, and raises each error
response again as the class that the daemon named. When the response to a change is lost, it raises
`WriteUnknownError`, since the change may have been made. It also reads `/state` of a VM of the
routed request path. It relies on aiohttp and `net.http_client`.
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
from ..net.http_client import AnswerTooLongError, make_session

_CALL_TIMEOUT_S = 15.0
"""Limit for a whole request; a change makes several requests to the platform."""

_MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Maximum size of a response, in bytes."""

_TOO_LONG_REMEDY = "check which program listens at this address, as no VM answers that much"

_ERRORS_BY_NAME: dict[str, type[SprucewinchError]] = {
    error_class.__name__: error_class
    for error_class in (
        ConfigurationError,
        ConflictError,
        PlatformError,
        PolicyError,
        StaleStoreError,
        WriteUnknownError,
    )
}
"""Error classes by the name in an error response; any other name becomes a `DaemonError`."""


class OperatorClient:
    """Client of one entry VM's operators' port.

    Args:
        address: `IP:PORT` of the operators' port.
        token: The VM's `operators_token`.
        operator: Name for the audit trail; the login name by default.

    Raises:
        DaemonError: When the address is not `IP:PORT`, or the token is missing.
    """

    def __init__(self, address: str, token: str, *, operator: Optional[str] = None) -> None:
        if not is_address(address):
            raise DaemonError(
                f"{address!r} is no address",
                "set --vm or SPRUCEWINCH_VM to IP:PORT of an operators' port",
            )
        if not token:
            raise DaemonError(
                "no operators' token is set", "set SPRUCEWINCH_TOKEN to the VM's operators_token"
            )
        self.address = address
        self.token = token
        self.operator = operator or getpass.getuser()

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request and wait for its response.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Value to send as JSON; None for no body.

        Returns:
            The JSON value of the response.

        Raises:
            SprucewinchError: Of the class that the daemon named.
            DaemonError: When the daemon cannot be reached, so that nothing was changed, or did not
                answer a request that only reads.
            WriteUnknownError: When the response to a change was lost.
        """
        return asyncio.run(self._call(method, path, body))

    def get(self, path: str) -> Any:
        """Send a GET request; see `call`."""
        return self.call("GET", path)

    async def _call(self, method: str, path: str, body: Any) -> Any:
        headers = {
            "authorization": f"Bearer {self.token}",
            "sprucewinch-operator": self.operator,
        }
        timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
        url = f"http://{self.address}{path}"
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with (
                make_session(
                    max_answer_bytes=_MAX_ANSWER_BYTES, timeout=timeout, headers=headers
                ) as session,
                session.request(method, url, data=data) as response,
            ):
                status, decoded = response.status, msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise self._no_answer_error(method, error) from None
        except msgspec.MsgspecError:
            raise DaemonError(
                f"the response of {self.address} is not JSON",
                "check that --vm is the VM's operators_address",
            ) from None
        if status == HTTPStatus.OK:
            return decoded
        error_class = _ERRORS_BY_NAME.get(decoded.get("error", ""), DaemonError)
        raise error_class(str(decoded.get("problem")), str(decoded.get("remedy")))

    def _no_answer_error(self, method: str, error: Exception) -> SprucewinchError:
        connection_failed = isinstance(error, aiohttp.ClientConnectorError)
        if method == "GET" or connection_failed:
            return DaemonError(
                f"{self.address} does not answer ({type(error).__name__})",
                _remedy(error, "check that the daemon runs, or give another VM with --vm"),
            )
        return WriteUnknownError(
            f"the response of {self.address} was lost; the change may or may not have been made",
            "check with: sprucewinch audit",
        )


def _remedy(error: Exception, usual: str) -> str:
    """Return the remedy for a response that was not read whole."""
    return _TOO_LONG_REMEDY if isinstance(error, AnswerTooLongError) else usual


def read_state(address: str) -> Any:
    """Return the state of a VM of the routed request path.

    Args:
        address: `IP:PORT` of its metrics listener.

    Raises:
        DaemonError: When the address is not `IP:PORT`, or does not answer with a state.
    """
    if not is_address(address):
        raise DaemonError(f"{address!r} is no address", "give IP:PORT of a VM's metrics listener")
    return asyncio.run(_read_state(address))


async def _read_state(address: str) -> Any:
    timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
    try:
        async with (
            make_session(max_answer_bytes=_MAX_ANSWER_BYTES, timeout=timeout) as session,
            session.get(f"http://{address}/state") as response,
        ):
            return msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, TimeoutError, msgspec.MsgspecError) as error:
        raise DaemonError(
            f"cannot read the state of {address} ({type(error).__name__})",
            _remedy(error, "check that the VM runs and that this is its metrics listener"),
        ) from None
