"""The route of a request by the configuration in force, as far as its workspace may use it.

Owns the route table, which each new configuration replaces. Relies on `routes` for the match and on
`workspaces` for the regions that a workspace allows. Tests: tests/test_gateway_pipeline.py,
tests/test_gateway_keys.py.
"""

from typing import Optional, Union

from ..resources import Route, RouteConfiguration
from ..state.store_view import Change, StoreView
from ..workspaces.admission import WorkspaceAdmission
from ..workspaces.allowed_regions import allowed_regions
from .client_request import ClientRequest, RefusalReason
from .routes import RouteTable


class RoutesInForce:
    """Finds routes.

    Args:
        store_view: What this VM holds of the store.
        admission: Workspaces, as they are now.
    """

    def __init__(self, store_view: StoreView, admission: WorkspaceAdmission) -> None:
        self.admission = admission
        self.table: Optional[RouteTable] = None
        store_view.listeners.append(self._on_change)

    def find(self, request: ClientRequest) -> Union[Route, RefusalReason]:
        """Return a request's route, or why it has none."""
        if self.table is None:
            return RefusalReason.NO_CONFIGURATION
        route = self.table.find(request.host, request.path)
        return RefusalReason.NO_ROUTE if route is None else route

    def usable(self, request: ClientRequest) -> Union[Route, RefusalReason]:
        """Return a request's route as far as its workspace, as it is now, may use it."""
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
