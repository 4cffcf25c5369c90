"""Rule: which workspace calls, and what a VM says of a key that it does not know.

Question: may this caller's request be run, and in whose name? Inputs: the key's digest, the route,
the workspaces of the configuration in force, the age of what this VM holds of the store in seconds.

Rule: a public route needs no key, nor does any route while the configuration has no workspaces.
A missing key is refused for good. So is an unknown one, but only while this VM has heard from
the store, itself or through other VMs, within the time in which a change has to be in force
everywhere (`config_s`): behind that the key may have been added meanwhile, and the caller is told
to come back. A known key is accepted however old the configuration is, unless operators bound that
(`key_trust_s`).

Why: a 401 ends a caller's tries, so a VM that may be behind must not say it of a key that was just
added. Refusing known keys in an outage of the store would turn all callers of a data hall away that
is cut off, and keys are taken away seldom; where that matters more, operators set the bound.

Constants: none; the times come from the settings. Shows in: event `request`, `outcome`
`unknown-key` or `behind`. Tests: tests/test_gateway_keys.py.
"""

import enum
from typing import NamedTuple, Optional

from ..resources import Route, RouteConfiguration, Workspace


class KeyProblem(enum.Enum):
    """Why a caller's key is not accepted."""

    UNKNOWN = "unknown"
    """No workspace has it, or none was sent."""
    BEHIND = "behind"
    """This VM has not heard from the store for too long to say."""


class Caller(NamedTuple):
    """Who calls.

    Args:
        workspace: The workspace of the key; None where none is needed.
        problem: Why the request is refused; None when it is not.
    """

    workspace: Optional[Workspace] = None
    problem: Optional[KeyProblem] = None


class KeyTable:
    """Workspaces of one configuration by key and by name.

    Args:
        configuration: The version in force.
    """

    __slots__ = ("by_key", "by_name")

    def __init__(self, configuration: RouteConfiguration) -> None:
        workspaces = configuration.workspaces
        self.by_name = {workspace.name: workspace for workspace in workspaces}
        self.by_key = {key: workspace for workspace in workspaces for key in workspace.keys}

    def caller(
        self,
        route: Route,
        digest: Optional[bytes],
        age_s: float,
        *,
        config_s: float,
        key_trust_s: Optional[float],
    ) -> Caller:
        """Return who calls, or why the key is not accepted.

        Args:
            route: The request's route.
            digest: Digest of its key; None when it has none.
            age_s: Time since this VM knew to hold what the store holds, in seconds.
            config_s: See `Bounds`.
            key_trust_s: See `Bounds`.
        """
        if route.public or not self.by_name:
            return Caller()
        if digest is None:
            return Caller(problem=KeyProblem.UNKNOWN)
        workspace = self.by_key.get(digest)
        if workspace is None:
            return Caller(problem=KeyProblem.BEHIND if age_s > config_s else KeyProblem.UNKNOWN)
        if key_trust_s is not None and age_s > key_trust_s:
            return Caller(problem=KeyProblem.BEHIND)
        return Caller(workspace)
