"""Write requests of the operators' port: changes to the configuration, policies and drains.

The module owns the decoding of each request into a `Change`. It relies on `writer` to write the
change safely and on `changes` for what each change does. A committed document is passed to
`on_committed` at once.
"""

from collections.abc import Callable

from starlette.requests import Request
from starlette.responses import Response

from ..config.configuration import Document
from ..config.loading import parse_configuration
from ..errors import ConfigurationError, PolicyError
from ..hall.node import Node
from ._messages import json_body, json_response, operator_name
from .changes import ApplyConfiguration, Change, Drain, LoadPolicy, RetirePolicy, UsePolicy
from .writer import ChangeWriter, CommittedChange

OnCommitted = Callable[[Document], None]
"""Called with each document that this VM has written."""

_DRAIN_KINDS = ("server", "hall", "region")


class WriteHandlers:
    """Handles write requests of operators.

    Args:
        node: This VM's view of the fleet.
        writer: Writes changes to the platform.
        on_committed: Called with each document that this VM has written.
    """

    def __init__(self, node: Node, writer: ChangeWriter, on_committed: OnCommitted) -> None:
        self.node = node
        self.writer = writer
        self.on_committed = on_committed

    async def apply_configuration(self, request: Request) -> Response:
        """Replace the configuration."""
        body = await json_body(request)
        tables = body.get("configuration")
        base = body.get("base")
        if not isinstance(tables, dict) or not isinstance(base, int | None):
            raise ConfigurationError(
                "the request has no configuration, or a base that is not an integer",
                "send a configuration table and the revision it was edited from",
            )
        configuration = parse_configuration(tables, str(body.get("source", "configuration")))
        return await self._write(request, ApplyConfiguration(configuration), base)

    async def restore(self, request: Request) -> Response:
        """Write the configuration in force over an older one on the platform."""
        if self.node.topology is None:
            raise ConfigurationError(
                "no configuration is in force at this VM", "call another entry VM"
            )
        committed = await self.writer.restore(self.node.topology.document, operator_name(request))
        return self._committed_response(committed)

    async def load_policy(self, request: Request) -> Response:
        """Load or replace a policy program."""
        source = (await json_body(request)).get("source")
        if not isinstance(source, str):
            raise PolicyError(
                "the request has no policy program", "send its source text as `source`"
            )
        return await self._write(request, LoadPolicy(request.path_params["name"], source))

    async def retire_policy(self, request: Request) -> Response:
        """Remove a policy program."""
        return await self._write(request, RetirePolicy(request.path_params["name"]))

    async def use_policy(self, request: Request) -> Response:
        """Assign a policy to a service."""
        policy = (await json_body(request)).get("policy")
        return await self._write(request, UsePolicy(request.path_params["name"], str(policy)))

    async def drain(self, request: Request) -> Response:
        """Drain a backend server, data hall or region."""
        return await self._drain(request, undo=False)

    async def undrain(self, request: Request) -> Response:
        """End the drain of a backend server, data hall or region."""
        return await self._drain(request, undo=True)

    async def _drain(self, request: Request, *, undo: bool) -> Response:
        kind, name = request.path_params["kind"], request.path_params["name"]
        if kind not in _DRAIN_KINDS:
            raise ConfigurationError(
                f"no kind {kind!r} to drain", f"name one of: {', '.join(_DRAIN_KINDS)}"
            )
        return await self._write(request, Drain(kind, name, undo=undo))

    async def _write(self, request: Request, change: Change, base: int | None = None) -> Response:
        committed = await self.writer.write(
            change, operator_name(request), base=base, in_force=self.node.revision
        )
        return self._committed_response(committed)

    def _committed_response(self, committed: CommittedChange) -> Response:
        self.on_committed(committed.document)
        return json_response(
            {"revision": committed.document.revision, "operation": committed.operation}
        )
