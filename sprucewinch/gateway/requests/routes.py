"""Decides which route of the current configuration a request takes.

The inputs are the `Host` header and the path without its query. The route is the one of the host
whose prefix is the longest that the path starts with; hosts are compared without port and case. All
prefixes end with a slash, so looking up the path cut at each of its slashes, from the last one on,
finds the longest prefix in at most as many steps as the path has segments.

The route is logged as `route` in the event `request`; a request without one has the `outcome`
`no-route`. The tests are in tests/test_gateway_routes.py (`LongestPrefix`).
"""

from typing import Optional

from ..resources import Route, RouteConfiguration


class RouteTable:
    """Routes by host and path prefix.

    Args:
        configuration: The current route configuration.
    """

    __slots__ = ("_by_host", "version")

    def __init__(self, configuration: RouteConfiguration) -> None:
        self.version = configuration.version
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Optional[Route]:
        """Return the route of a request; None when no route matches.

        Args:
            host: Value of the `Host` header.
            path: Path without the query.
        """
        prefixes = self._by_host.get(_without_port(host))
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind("/", 0, end) + 1
            route = prefixes.get(path[:end])
            if route is not None or end == 0:
                return route
            end -= 1
        return None


def _without_port(host: str) -> str:
    """Return a host without its port, in lower case."""
    name, colon, port = host.rpartition(":")
    return (name if colon and port.isdigit() else host).lower()
