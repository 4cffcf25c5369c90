"""Admits a request: identifies its caller, and checks whether the workspace may send one more.

This module owns the order of the two checks, and what a request carries along: its workspace, and
what it took of the workspace's quota. Both are checked once for a request, before its body is read.
`workspace` is checked again before each send, because a workspace may be removed meanwhile. The
module relies on `key_table` and `quotas` for the decisions, and on the view of the store for the
configuration and its age.

Keys are never logged. Callers that guess keys appear in the counter `requests_unknown-key` and, at
most once every `_UNKNOWN_KEYS_INTERVAL_S`, in the event `unknown-keys`. tests/test_gateway_keys.py
tests this module.
"""

from collections.abc import Callable
from typing import NamedTuple, Optional

from ..events import EventLog
from ..quotas.quota import Quota
from ..quotas.quotas import QuotaDecision, Quotas
from ..resources import Route, RouteConfiguration, Workspace
from ..settings import Bounds
from ..state.store_view import Change, StoreView
from ..statements.server_quotas import is_server_quota
from .key_table import Caller, KeyTable
from .workspace_quota import workspace_quota

_UNKNOWN_KEYS_INTERVAL_S = 10.0
"""Shortest time between two `unknown-keys` events, in seconds."""


class CallerRequest(NamedTuple):
    """What a request carries along: its workspace, and what it took of that workspace's quota.

    Args:
        workspace: The workspace; None where none is needed.
        quota: The decision by which it was admitted; None where no limit applies.
    """

    workspace: Optional[Workspace] = None
    quota: Optional[QuotaDecision] = None


class WorkspaceAdmission:
    """Admits requests by key and by quota.

    Args:
        store_view: What this VM holds of the store.
        quotas: Enforces the quotas.
        bounds: Bounds that the settings of the fleet state.
        monotonic: Source of time, in seconds.
        events: Takes the event `unknown-keys`.
    """

    def __init__(
        self,
        store_view: StoreView,
        quotas: Quotas,
        bounds: Bounds,
        monotonic: Callable[[], float],
        events: EventLog,
    ) -> None:
        self.store_view = store_view
        self.quotas = quotas
        self.bounds = bounds
        self.monotonic = monotonic
        self.events = events
        self.table: Optional[KeyTable] = None
        self._rejected_keys = 0
        self._logged_at = float("-inf")
        store_view.listeners.append(self._on_change)

    def set_bounds(self, bounds: Bounds) -> None:
        """Use other bounds from now on."""
        self.bounds = bounds

    def workspace(self, name: str) -> Optional[Workspace]:
        """Return a workspace of the active configuration by name; None when it has none."""
        return self.table.by_name.get(name) if self.table else None

    def caller(self, route: Route, digest: Optional[bytes]) -> Caller:
        """Return the caller's workspace, or why its key is not accepted.

        Args:
            route: The request's route.
            digest: Digest of the request's key; None when it has none.
        """
        assert self.table is not None, "a route was found, so there is a configuration"
        found = self.table.caller(
            route,
            digest,
            self.monotonic() - self.store_view.confirmed_at,
            config_s=self.bounds.config_s,
            key_trust_s=self.bounds.key_trust_s,
        )
        if found.problem is not None:
            self._count_rejected_key()
        return found

    async def take_quota(self, workspace: Workspace) -> QuotaDecision:
        """Return whether a workspace may send one more request, and count it if so."""
        return await self.quotas.take(workspace_quota(workspace, self.bounds))

    def give_back(self, taken: CallerRequest) -> None:
        """Return what a request took, because no backend server has run it."""
        if taken.workspace is not None and taken.quota is not None:
            self.quotas.give_back(workspace_quota(taken.workspace, self.bounds), taken.quota)

    def quota(self, name: str) -> Optional[Quota]:
        """Return the quota of a workspace by name; None when the configuration has none."""
        workspace = self.workspace(name)
        return workspace_quota(workspace, self.bounds) if workspace else None

    def _is_unknown(self, name: str) -> bool:
        """Return whether a quota belongs to a workspace that the configuration no longer has."""
        return self.workspace(name) is None and not is_server_quota(name)

    def _count_rejected_key(self) -> None:
        self._rejected_keys += 1
        now = self.monotonic()
        if now - self._logged_at >= _UNKNOWN_KEYS_INTERVAL_S:
            self.events.state("unknown-keys", requests=self._rejected_keys)
            self._logged_at = now
            self._rejected_keys = 0

    def _on_change(self, change: Change) -> None:
        if isinstance(change.after, RouteConfiguration):
            self.table = KeyTable(change.after)
            self.quotas.drop(self._is_unknown)
