"""The operators' port: configuration, policies, drains, status, measures and explanations."""

import hmac
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .. import log
from ..clock import Clock
from ..config.loading import parse_configuration
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
from ..hall.store.documents import AUDIT_PREFIX
from ..hall.store.store import Platform
from .changes import ApplyConfiguration, Change, Drain, LoadPolicy, RetirePolicy, UsePolicy
from .report import compare_policies, explain, status
from .writer import ChangeWriter

_MAX_BODY = 2_000_000
_DRAIN_KINDS = ("server", "hall", "region")
_STATUS: dict[type[SprucewinchError], int] = {
    ConfigurationError: 400,
    PolicyError: 400,
    ConflictError: 409,
    StaleStoreError: 409,
    WriteUnknownError: 502,
    PlatformError: 503,
}

Handler = Callable[[Request], Awaitable[Response]]
Applied = Callable[[Any], None]


class OperatorsApp:
    """Serves operators; every call must carry the configured token.

    Args:
        settings: The daemon's settings.
        node: This VM's view.
        platform: The platform's service.
        clock: Source of time.
        applied: Told of every document that this VM wrote.
    """

    def __init__(
        self, settings: Settings, node: Node, platform: Platform, clock: Clock, applied: Applied
    ) -> None:
        self.token = settings.operators_token.encode()
        self.node = node
        self.platform = platform
        self.clock = clock
        self.writer = ChangeWriter(platform, clock)
        self.applied = applied

    def routes(self) -> Starlette:
        """Return the ASGI application."""
        paths: list[tuple[str, str, Handler]] = [
            ("/v1/status", "GET", self.show_status),
            ("/v1/metrics", "GET", self.show_metrics),
            ("/v1/audit", "GET", self.show_audit),
            ("/v1/explain", "GET", self.show_explanation),
            ("/v1/configuration", "GET", self.show_configuration),
            ("/v1/configuration", "POST", self.apply_configuration),
            ("/v1/restore", "POST", self.restore),
            ("/v1/policies", "GET", self.list_policies),
            ("/v1/policies/{name}", "PUT", self.load_policy),
            ("/v1/policies/{name}", "DELETE", self.retire_policy),
            ("/v1/compare", "GET", self.compare),
            ("/v1/services/{name}/policy", "PUT", self.use_policy),
            ("/v1/drains/{kind}/{name:path}", "PUT", self.drain),
            ("/v1/drains/{kind}/{name:path}", "DELETE", self.undrain),
        ]
        routes = [Route(path, self._guarded(call), methods=[verb]) for path, verb, call in paths]
        return Starlette(routes=routes)

    def _guarded(self, handler: Handler) -> Handler:
        async def guarded(request: Request) -> Response:
            if not self._permitted(request):
                return _problem(401, "no valid token", "set the operators_token of this VM")
            try:
                return await handler(request)
            except SprucewinchError as error:
                status = _STATUS.get(type(error), 500)
                return _problem(status, error.problem, error.remedy, type(error).__name__)
            except Exception as error:  # noqa: BLE001  a handler's fault is logged and answered
                log.trouble(f"event=operators-fault path={request.url.path} error={error!r}")
                return _problem(500, f"fault: {type(error).__name__}", "report it with the log")

        return guarded

    def _permitted(self, request: Request) -> bool:
        given = request.headers.get("authorization", "").removeprefix("Bearer ").encode()
        return hmac.compare_digest(given, self.token)

    async def show_status(self, _request: Request) -> Response:
        """Return every entry VM this one knows of, and what is draining."""
        return _json(status(self.node, self.clock.monotonic()))

    async def show_metrics(self, _request: Request) -> Response:
        """Return this daemon's measures."""
        return _json(self.node.metrics.report())

    async def show_audit(self, request: Request) -> Response:
        """Return the audit trail, oldest first, archived parts included."""
        records: list[Any] = []
        if request.query_params.get("all"):
            for entry in await self.platform.watch(AUDIT_PREFIX, 0, 0.0):
                records.extend(msgspec.json.decode(entry.value))
        if self.node.topology is not None:
            records.extend(msgspec.to_builtins(self.node.topology.document.audit))
        return _json({"audit": records})

    async def show_explanation(self, request: Request) -> Response:
        """Explain where a client block is steered to for a service, and why."""
        block = request.query_params.get("block", "")
        service = request.query_params.get("service", "")
        return _json(explain(self.node, block, service, self.clock.monotonic()))

    async def show_configuration(self, _request: Request) -> Response:
        """Return the configuration in force here."""
        if self.node.topology is None:
            return _json({"revision": 0, "configuration": None, "drained": []})
        document = self.node.topology.document
        return _json(
            {
                "revision": document.revision,
                "configuration": msgspec.to_builtins(document.configuration),
                "drained": list(document.drained),
            }
        )

    async def apply_configuration(self, request: Request) -> Response:
        """Replace the configuration."""
        body = await _body(request)
        tables = body.get("configuration")
        base = body.get("base")
        if not isinstance(tables, dict) or not isinstance(base, int | None):
            raise ConfigurationError("the call has no configuration", "send a configuration table")
        configuration = parse_configuration(tables, str(body.get("source", "configuration")))
        return await self._write(request, ApplyConfiguration(configuration), base)

    async def restore(self, request: Request) -> Response:
        """Write the configuration in force over an older one on the platform."""
        if self.node.topology is None:
            raise ConfigurationError("no configuration is in force here", "ask another entry VM")
        accepted = await self.writer.restore(self.node.topology.document, _operator(request))
        self.applied(accepted.document)
        return _json({"revision": accepted.document.revision, "operation": accepted.operation})

    async def list_policies(self, _request: Request) -> Response:
        """Return all policies and the services that use them."""
        users: dict[str, list[str]] = {name: [] for name in self.node.policies}
        loaded: set[str] = set()
        if self.node.topology is not None:
            loaded = {policy.name for policy in self.node.topology.document.policies}
            for service in self.node.topology.services.values():
                users.setdefault(service.policy, []).append(service.name)
        rows = [
            {"policy": name, "origin": "loaded" if name in loaded else "shipped", "services": used}
            for name, used in sorted(users.items())
        ]
        return _json({"policies": rows})

    async def load_policy(self, request: Request) -> Response:
        """Load or replace a policy."""
        source = (await _body(request)).get("source")
        if not isinstance(source, str):
            raise PolicyError("the call has no program", "send its text as source")
        return await self._write(request, LoadPolicy(request.path_params["name"], source))

    async def retire_policy(self, request: Request) -> Response:
        """Take a policy out."""
        return await self._write(request, RetirePolicy(request.path_params["name"]))

    async def compare(self, request: Request) -> Response:
        """Run policies on the present measures without putting them in force."""
        names = [n for n in request.query_params.get("policies", "").split(",") if n]
        service = request.query_params.get("service", "")
        return _json(compare_policies(self.node, service, names, self.clock.monotonic()))

    async def use_policy(self, request: Request) -> Response:
        """Give a service another policy."""
        policy = (await _body(request)).get("policy")
        return await self._write(request, UsePolicy(request.path_params["name"], str(policy)))

    async def drain(self, request: Request) -> Response:
        """Drain a backend server, data hall or region."""
        return await self._drain(request, undo=False)

    async def undrain(self, request: Request) -> Response:
        """Undrain a backend server, data hall or region."""
        return await self._drain(request, undo=True)

    async def _drain(self, request: Request, *, undo: bool) -> Response:
        kind, name = request.path_params["kind"], request.path_params["name"]
        if kind not in _DRAIN_KINDS:
            raise ConfigurationError(
                f"no kind {kind!r} to drain", f"write one of: {', '.join(_DRAIN_KINDS)}"
            )
        return await self._write(request, Drain(kind, name, undo=undo))

    async def _write(self, request: Request, change: Change, base: int | None = None) -> Response:
        accepted = await self.writer.write(
            change, _operator(request), base=base, in_force=self.node.revision
        )
        self.applied(accepted.document)
        return _json({"revision": accepted.document.revision, "operation": accepted.operation})


def _operator(request: Request) -> str:
    name = request.headers.get("sprucewinch-operator", "unnamed")
    return "".join(c for c in name if c.isprintable())[:64] or "unnamed"


async def _body(request: Request) -> dict[str, Any]:
    received = bytearray()
    async for chunk in request.stream():
        received += chunk
        if len(received) > _MAX_BODY:
            raise ConfigurationError(
                f"the call has more than {_MAX_BODY} bytes", "send a smaller configuration"
            )
    try:
        decoded = msgspec.json.decode(bytes(received))
    except msgspec.MsgspecError as error:
        raise ConfigurationError(f"the call is no JSON: {error}", "send a JSON object") from None
    if not isinstance(decoded, dict):
        raise ConfigurationError("the call is no JSON object", "send a JSON object")
    return decoded


def _json(value: Any, status_code: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status_code, media_type="application/json")


def _problem(status_code: int, problem: str, remedy: str, kind: str = "Refused") -> Response:
    return _json({"error": kind, "problem": problem, "remedy": remedy}, status_code)
