"""Step: who calls, and whether its workspace may send one more request.

Owns the order of the two questions and what a request takes along: its workspace, and what it took
of the workspace's limit. Asked once for a request, before its body is read; `workspace` is asked
again before each send, as one may be taken away meanwhile. Relies on `key_table` and `quotas` for
the decisions, and on the view of the store for the configuration and its age. Keys stand in no
line: a caller that guesses shows in the counter `requests_unknown-key` and, at most every
`_GUESSES_EVERY_S`, in the event `unknown-keys`. Tests: tests/test_gateway_keys.py.
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

_GUESSES_EVERY_S = 10.0
"""Least time between two lines that tell of requests with unknown keys, in seconds."""


class CallerRequest(NamedTuple):
    """What a request took along: its workspace, and what it took of that one's limit.

    Args:
        workspace: The workspace; None where none is needed.
        quota: What it took; None where nothing is limited.
    """

    workspace: Optional[Workspace] = None
    quota: Optional[QuotaDecision] = None


class WorkspaceAdmission:
    """Admits requests by key and by limit.

    Args:
        store_view: What this VM holds of the store.
        quotas: Keeps the limits.
        bounds: The fleet's figures.
        monotonic: Source of time, in seconds.
        events: Takes lines on unknown keys.
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
        self._guesses = 0
        self._told_at = float("-inf")
        store_view.listeners.append(self._on_change)

    def set_bounds(self, bounds: Bounds) -> None:
        """Use other figures of the fleet from now on."""
        self.bounds = bounds

    def workspace(self, name: str) -> Optional[Workspace]:
        """Return a workspace of the configuration in force; None when it has none of this name."""
        return self.table.by_name.get(name) if self.table else None

    def caller(self, route: Route, digest: Optional[bytes]) -> Caller:
        """Return who calls, or why the key is not accepted.

        Args:
            route: The request's route.
            digest: Digest of its key; None when it has none.
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
            self._note_guess()
        return found

    async def take_quota(self, workspace: Workspace) -> QuotaDecision:
        """Return whether a workspace may send one more request."""
        return await self.quotas.take(workspace_quota(workspace, self.bounds))

    def give_back(self, taken: CallerRequest) -> None:
        """Count a request no longer that no backend server has run."""
        if taken.workspace is not None and taken.quota is not None:
            self.quotas.give_back(workspace_quota(taken.workspace, self.bounds), taken.quota)

    def quota(self, name: str) -> Optional[Quota]:
        """Return the quota of a workspace by name; None when the configuration has none."""
        workspace = self.workspace(name)
        return workspace_quota(workspace, self.bounds) if workspace else None

    def _is_unknown(self, name: str) -> bool:
        """Return whether a quota is that of a workspace that the configuration has no longer."""
        return self.workspace(name) is None and not is_server_quota(name)

    def _note_guess(self) -> None:
        self._guesses += 1
        now = self.monotonic()
        if now - self._told_at >= _GUESSES_EVERY_S:
            self.events.state("unknown-keys", requests=self._guesses)
            self._told_at = now
            self._guesses = 0

    def _on_change(self, change: Change) -> None:
        if isinstance(change.after, RouteConfiguration):
            self.table = KeyTable(change.after)
            self.quotas.drop(self._is_unknown)
