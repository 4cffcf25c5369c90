"""Finds the route of a request in the current configuration, limited to what its workspace may use.

The module owns the route table, which is replaced with each new configuration. It relies on
`routes` to match requests and on `workspaces` for the regions that a workspace allows. The tests
are in tests/test_gateway_pipeline.py and tests/test_gateway_keys.py.
"""

from typing import Optional, Union

from ..resources import Route, RouteConfiguration
from ..state.store_view import Change, StoreView
from ..workspaces.admission import WorkspaceAdmission
from ..workspaces.allowed_regions import allowed_regions
from .client_request import ClientRequest, RefusalReason
from .routes import RouteTable


class RoutesInForce:
    """Finds the routes of requests in the current configuration.

    Args:
        store_view: This VM's view of the store.
        admission: Current workspaces.
    """

    def __init__(self, store_view: StoreView, admission: WorkspaceAdmission) -> None:
        self.admission = admission
        self.table: Optional[RouteTable] = None
        store_view.listeners.append(self._on_change)

    def find(self, request: ClientRequest) -> Union[Route, RefusalReason]:
        """Return a request's route, or the reason why it has none."""
        if self.table is None:
            return RefusalReason.NO_CONFIGURATION
        route = self.table.find(request.host, request.path)
        return RefusalReason.NO_ROUTE if route is None else route

    def usable(self, request: ClientRequest) -> Union[Route, RefusalReason]:
        """Return a request's route, limited to the regions that its workspace currently allows."""
        route = self.find(request)
        admitted = request.caller.workspace
        if isinstance(route, RefusalReason) or admitted is None:
            return route
        workspace = self.admission.workspace(admitted.name)
        if workspace is None:
            return RefusalReason.UNKNOWN_KEY
        allowed = allowed_regions(route, workspace)
        return RefusalReason.NO_REGION if allowed is None else route._replace(regions=allowed)

    def _on_change(self, change: Change) -> None:
        if isinstance(change.after, RouteConfiguration):
            self.table = RouteTable(change.after)
