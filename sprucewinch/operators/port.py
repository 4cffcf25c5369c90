"""The operators' port: routes, permission, and the answer to each kind of error.

Owns the paths under `/v1/` and the HTTP status of each error; the command line is its client. Every
call must carry the VM's `operators_token`. Relies on `_read_calls` and `_write_calls` for what the
calls do; an error of theirs becomes an answer that names its class, problem and remedy.
"""

import hmac
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .. import log
from ..clock import Clock
from ..config.settings import Settings
from ..errors import (
    ConfigurationError,
    ConflictError,
    PlatformError,
    PolicyError,
    SprucewinchError,
    StaleStoreError,
    WriteUnknownError,
)
from ..hall.node import Node
from ..hall.store.store import Store
from ._messages import problem_answer
from ._read_calls import ReadCalls
from ._write_calls import Applied, WriteCalls
from .writer import ChangeWriter

_STATUS: dict[type[SprucewinchError], int] = {
    ConfigurationError: HTTPStatus.BAD_REQUEST,
    PolicyError: HTTPStatus.BAD_REQUEST,
    ConflictError: HTTPStatus.CONFLICT,
    StaleStoreError: HTTPStatus.CONFLICT,
    WriteUnknownError: HTTPStatus.BAD_GATEWAY,
    PlatformError: HTTPStatus.SERVICE_UNAVAILABLE,
}
"""HTTP status by kind of error; any other kind is a fault of this program."""

Handler = Callable[[Request], Awaitable[Response]]
"""Answers one call."""


class OperatorsApp:
    """Serves operators; every call must carry the configured token.

    Args:
        settings: The daemon's settings.
        node: This VM's view.
        store: The platform's service.
        clock: Source of time.
        applied: Called with each document that this VM wrote.
    """

    def __init__(
        self, settings: Settings, node: Node, store: Store, clock: Clock, applied: Applied
    ) -> None:
        self.token = settings.operators_token.encode()
        self.reads = ReadCalls(node, store, clock)
        self.writes = WriteCalls(node, ChangeWriter(store, clock), applied)

    def routes(self) -> Starlette:
        """Return the ASGI application."""
        reads, writes = self.reads, self.writes
        paths: list[tuple[str, str, Handler]] = [
            ("/v1/status", "GET", reads.show_status),
            ("/v1/metrics", "GET", reads.show_metrics),
            ("/v1/audit", "GET", reads.show_audit),
            ("/v1/explain", "GET", reads.show_explanation),
            ("/v1/configuration", "GET", reads.show_configuration),
            ("/v1/configuration", "POST", writes.apply_configuration),
            ("/v1/restore", "POST", writes.restore),
            ("/v1/policies", "GET", reads.list_policies),
            ("/v1/policies/{name}", "PUT", writes.load_policy),
            ("/v1/policies/{name}", "DELETE", writes.retire_policy),
            ("/v1/compare", "GET", reads.compare),
            ("/v1/services/{name}/policy", "PUT", writes.use_policy),
            ("/v1/drains/{kind}/{name:path}", "PUT", writes.drain),
            ("/v1/drains/{kind}/{name:path}", "DELETE", writes.undrain),
        ]
        routes = [Route(path, self._guarded(call), methods=[verb]) for path, verb, call in paths]
        return Starlette(routes=routes)

    def _guarded(self, handler: Handler) -> Handler:
        """Return a handler that checks the token and turns errors into answers."""

        async def guarded(request: Request) -> Response:
            if not self._permitted(request):
                return problem_answer(
                    HTTPStatus.UNAUTHORIZED, "no valid token", "set the operators_token of this VM"
                )
            try:
                return await handler(request)
            except SprucewinchError as error:
                status = _STATUS.get(type(error), HTTPStatus.INTERNAL_SERVER_ERROR)
                return problem_answer(status, error.problem, error.remedy, type(error).__name__)
            except Exception as error:  # noqa: BLE001  a handler's fault is logged and answered
                log.trouble(f"event=operators-fault path={request.url.path} error={error!r}")
                return problem_answer(
                    HTTPStatus.INTERNAL_SERVER_ERROR,
                    f"fault: {type(error).__name__}",
                    "report it with the log",
                )

        return guarded

    def _permitted(self, request: Request) -> bool:
        given = request.headers.get("authorization", "").removeprefix("Bearer ").encode()
        return hmac.compare_digest(given, self.token)
