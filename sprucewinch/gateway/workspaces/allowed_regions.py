"""Rule: in which regions a request may run when its route and its workspace both name some.

Question: which regions are allowed? Inputs: the route's regions and the workspace's, each empty for
all. Rule: both bind. Where they have none in common, no region is allowed, which differs from all.
Constants: none. Shows in: event `request`, `outcome` `no-region`. Tests:
tests/test_gateway_keys.py.
"""

from typing import Optional

from ..resources import Route, Workspace


def allowed_regions(route: Route, workspace: Optional[Workspace]) -> Optional[tuple[str, ...]]:
    """Return the regions that may run a request; empty for all, None for no region at all.

    Args:
        route: Its route.
        workspace: Its workspace, if any.
    """
    if workspace is None or not workspace.regions:
        return route.regions
    if not route.regions:
        return workspace.regions
    return tuple(region for region in route.regions if region in workspace.regions) or None
