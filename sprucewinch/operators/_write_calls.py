"""Calls of the operators' port that change the configuration, its policies or its drains.

Owns the reading of each call's body into a `Change`. Relies on `writer` to write it safely and on
`changes` for what each change does; a change that the platform accepts goes to `applied` at once.
"""

from collections.abc import Callable

from starlette.requests import Request
from starlette.responses import Response

from ..config.configuration import Document
from ..config.loading import parse_configuration
from ..errors import ConfigurationError, PolicyError
from ..hall.node import Node
from ._messages import json_answer, json_body, operator_name
from .changes import ApplyConfiguration, Change, Drain, LoadPolicy, RetirePolicy, UsePolicy
from .writer import ChangeWriter, CommittedChange

Applied = Callable[[Document], None]
"""Called with each document that this VM wrote."""

_DRAIN_KINDS = ("server", "hall", "region")


class WriteCalls:
    """Makes the changes that operators ask for.

    Args:
        node: This VM's view.
        writer: Writes changes to the platform.
        applied: Called with each document that this VM wrote.
    """

    def __init__(self, node: Node, writer: ChangeWriter, applied: Applied) -> None:
        self.node = node
        self.writer = writer
        self.applied = applied

    async def apply_configuration(self, request: Request) -> Response:
        """Replace the configuration."""
        body = await json_body(request)
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
        accepted = await self.writer.restore(self.node.topology.document, operator_name(request))
        return self._accepted(accepted)

    async def load_policy(self, request: Request) -> Response:
        """Load or replace a policy."""
        source = (await json_body(request)).get("source")
        if not isinstance(source, str):
            raise PolicyError("the call has no program", "send its text as source")
        return await self._write(request, LoadPolicy(request.path_params["name"], source))

    async def retire_policy(self, request: Request) -> Response:
        """Remove a policy."""
        return await self._write(request, RetirePolicy(request.path_params["name"]))

    async def use_policy(self, request: Request) -> Response:
        """Give a service another policy."""
        policy = (await json_body(request)).get("policy")
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
            change, operator_name(request), base=base, in_force=self.node.revision
        )
        return self._accepted(accepted)

    def _accepted(self, accepted: CommittedChange) -> Response:
        self.applied(accepted.document)
        return json_answer(
            {"revision": accepted.document.revision, "operation": accepted.operation}
        )
