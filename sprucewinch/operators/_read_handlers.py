"""Read requests of the operators' port: status, metrics, audit, explanations, configuration.

Each handler answers from this VM's node; only archived audit records come from the platform. The
handlers hold no state of their own and change nothing. `report` computes the answers that need
more than a field of the node.
"""

from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response

from ..clock import Clock
from ..hall.node import Node
from ..hall.store.documents import AUDIT_PREFIX
from ..hall.store.store import Store
from ._messages import json_response
from .report import compare_policies, explain, status


class ReadHandlers:
    """Handles read requests of operators.

    Args:
        node: This VM's view of the fleet.
        store: Client of the platform's store.
        clock: Source of time.
    """

    def __init__(self, node: Node, store: Store, clock: Clock) -> None:
        self.node = node
        self.store = store
        self.clock = clock

    async def show_status(self, _request: Request) -> Response:
        """Return every entry VM known to this one, and the drains."""
        return json_response(status(self.node, self.clock.monotonic()))

    async def show_metrics(self, _request: Request) -> Response:
        """Return this daemon's metrics."""
        return json_response(self.node.metrics.report())

    async def show_audit(self, request: Request) -> Response:
        """Return the audit trail, oldest first; with `all`, archived records too."""
        records: list[Any] = []
        if request.query_params.get("all"):
            for entry in await self.store.watch(AUDIT_PREFIX, 0, 0.0):
                records.extend(msgspec.json.decode(entry.value))
        if self.node.topology is not None:
            records.extend(msgspec.to_builtins(self.node.topology.document.audit))
        return json_response({"audit": records})

    async def show_explanation(self, request: Request) -> Response:
        """Return where a client block is sent for a service, and why."""
        block = request.query_params.get("block", "")
        service = request.query_params.get("service", "")
        return json_response(explain(self.node, block, service, self.clock.monotonic()))

    async def show_configuration(self, _request: Request) -> Response:
        """Return the configuration in force at this VM."""
        if self.node.topology is None:
            return json_response({"revision": 0, "configuration": None, "drained": []})
        document = self.node.topology.document
        return json_response(
            {
                "revision": document.revision,
                "configuration": msgspec.to_builtins(document.configuration),
                "drained": list(document.drained),
            }
        )

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
        return json_response({"policies": rows})

    async def compare(self, request: Request) -> Response:
        """Return the shares that policies would give now, without putting them in force."""
        names = [n for n in request.query_params.get("policies", "").split(",") if n]
        service = request.query_params.get("service", "")
        return json_response(compare_policies(self.node, service, names, self.clock.monotonic()))
