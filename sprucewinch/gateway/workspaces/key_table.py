"""Decides which workspace a caller belongs to, and how a VM refuses a key that it does not know.

The inputs are the key's digest, the route, the workspaces of the active configuration, and the age
in seconds of what this VM holds of the store.

A public route needs no key, nor does any route while the configuration has no workspaces. A missing
key is refused for good. So is an unknown key, but only while this VM has heard from the store,
itself or through other VMs, within the time in which a change has to be active at all VMs
(`config_s`). A VM that is further behind may have missed the addition of the key, so the caller is
told to retry. A known key is accepted however old the configuration is, unless operators limit its
age (`key_trust_s`).

A caller that gets a 401 stops retrying, so a VM that may be behind must not send it for a key that
was just added. Refusing known keys while the store is unavailable would turn away all callers of a
data hall that is cut off, and keys are seldom revoked; operators for whom a revocation matters more
set the limit.

Both times come from the settings. The result appears in the event `request` as `outcome`
`unknown-key` or `behind`. tests/test_gateway_keys.py tests this module.
"""

import enum
from typing import NamedTuple, Optional

from ..resources import Route, RouteConfiguration, Workspace


class KeyProblem(enum.Enum):
    """Why a caller's key is not accepted."""

    UNKNOWN = "unknown"
    """No workspace has it, or none was sent."""
    BEHIND = "behind"
    """This VM has not heard from the store for too long to tell."""


class Caller(NamedTuple):
    """The caller of a request.

    Args:
        workspace: The workspace of the key; None where none is needed.
        problem: Why the request is refused; None when it is not.
    """

    workspace: Optional[Workspace] = None
    problem: Optional[KeyProblem] = None


class KeyTable:
    """Workspaces of one configuration by key digest and by name.

    Args:
        configuration: The active version.
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
        """Return the caller's workspace, or why its key is not accepted.

        Args:
            route: The request's route.
            digest: Digest of the request's key; None when it has none.
            age_s: Time since this VM was last known to hold what the store holds, in seconds.
            config_s: See `Bounds`, in seconds.
            key_trust_s: See `Bounds`, in seconds; None for no limit.
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
