"""The HTTP API of the operators' port: routes, authorization and error responses.

The module owns the paths under `/v1/` and the HTTP status of each error class; the command line is
its client. Every request must carry the VM's `operators_token`. `_read_handlers` and
`_write_handlers` implement the requests; an error that they raise becomes a response that names the
error's class, problem and remedy.
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
from ._messages import error_response
from ._read_handlers import ReadHandlers
from ._write_handlers import OnCommitted, WriteHandlers
from .writer import ChangeWriter

_HTTP_STATUS_BY_ERROR: dict[type[SprucewinchError], int] = {
    ConfigurationError: HTTPStatus.BAD_REQUEST,
    PolicyError: HTTPStatus.BAD_REQUEST,
    ConflictError: HTTPStatus.CONFLICT,
    StaleStoreError: HTTPStatus.CONFLICT,
    WriteUnknownError: HTTPStatus.BAD_GATEWAY,
    PlatformError: HTTPStatus.SERVICE_UNAVAILABLE,
}
"""HTTP status by class of error; any other class is a fault of the daemon."""

Handler = Callable[[Request], Awaitable[Response]]
"""Handles one HTTP request."""


class OperatorsApp:
    """The application of the operators' port; every request must carry the configured token.

    Args:
        settings: The daemon's settings.
        node: This VM's view of the fleet.
        store: Client of the platform's store.
        clock: Source of time.
        on_committed: Called with each document that this VM has written.
    """

    def __init__(
        self,
        settings: Settings,
        node: Node,
        store: Store,
        clock: Clock,
        on_committed: OnCommitted,
    ) -> None:
        self.token = settings.operators_token.encode()
        self.read_handlers = ReadHandlers(node, store, clock)
        self.write_handlers = WriteHandlers(node, ChangeWriter(store, clock), on_committed)

    def routes(self) -> Starlette:
        """Return the ASGI application."""
        read_handlers, write_handlers = self.read_handlers, self.write_handlers
        paths: list[tuple[str, str, Handler]] = [
            ("/v1/status", "GET", read_handlers.show_status),
            ("/v1/metrics", "GET", read_handlers.show_metrics),
            ("/v1/audit", "GET", read_handlers.show_audit),
            ("/v1/explain", "GET", read_handlers.show_explanation),
            ("/v1/configuration", "GET", read_handlers.show_configuration),
            ("/v1/configuration", "POST", write_handlers.apply_configuration),
            ("/v1/restore", "POST", write_handlers.restore),
            ("/v1/policies", "GET", read_handlers.list_policies),
            ("/v1/policies/{name}", "PUT", write_handlers.load_policy),
            ("/v1/policies/{name}", "DELETE", write_handlers.retire_policy),
            ("/v1/compare", "GET", read_handlers.compare),
            ("/v1/services/{name}/policy", "PUT", write_handlers.use_policy),
            ("/v1/drains/{kind}/{name:path}", "PUT", write_handlers.drain),
            ("/v1/drains/{kind}/{name:path}", "DELETE", write_handlers.undrain),
        ]
        routes = [
            Route(path, self._with_error_responses(handler), methods=[method])
            for path, method, handler in paths
        ]
        return Starlette(routes=routes)

    def _with_error_responses(self, handler: Handler) -> Handler:
        """Return a handler that checks the token and turns errors into responses."""

        async def handle(request: Request) -> Response:
            if not self._is_authorized(request):
                return error_response(
                    HTTPStatus.UNAUTHORIZED, "no valid token", "send the operators_token of this VM"
                )
            try:
                return await handler(request)
            except SprucewinchError as error:
                status = _HTTP_STATUS_BY_ERROR.get(type(error), HTTPStatus.INTERNAL_SERVER_ERROR)
                return error_response(status, error.problem, error.remedy, type(error).__name__)
            except Exception as error:  # noqa: BLE001  any fault of a handler is logged and answered
                log.trouble(f"event=operators-fault path={request.url.path} error={error!r}")
                return error_response(
                    HTTPStatus.INTERNAL_SERVER_ERROR,
                    f"fault: {type(error).__name__}",
                    "report it with the daemon's log",
                )

        return handle

    def _is_authorized(self, request: Request) -> bool:
        token = request.headers.get("authorization", "").removeprefix("Bearer ").encode()
        return hmac.compare_digest(token, self.token)
