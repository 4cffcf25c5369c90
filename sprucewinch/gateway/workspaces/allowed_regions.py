"""Decides in which regions a request may run when its route and its workspace both name some.

The inputs are the regions of the route and of the workspace; each is empty for all regions. Both
lists apply. Where they have no region in common, no region is allowed, which differs from an empty
list. The result appears in the event `request` as `outcome` `no-region`.
tests/test_gateway_keys.py tests this module.
"""

from typing import Optional

from ..resources import Route, Workspace


def allowed_regions(route: Route, workspace: Optional[Workspace]) -> Optional[tuple[str, ...]]:
    """Return the regions that may run a request; empty for all, None for no region at all.

    Args:
        route: Route of the request.
        workspace: Workspace of the request; None where none is needed.
    """
    if workspace is None or not workspace.regions:
        return route.regions
    if not route.regions:
        return workspace.regions
    return tuple(region for region in route.regions if region in workspace.regions) or None
