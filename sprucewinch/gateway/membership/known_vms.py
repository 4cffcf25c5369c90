"""Knows the VMs among which limits of the whole fleet are divided.

Those are the registered VMs and those whose registration was removed within `_KEEP_S`. A VM that is
no longer registered may still send: its lease may have lapsed, the store may have lost it or may
refuse that VM. What it has spent of a limit also counts on for the limit's window. VMs that were
heard of without being registered count for the number of VMs.

A VM counts at the others for longer than it may send, but not from its first moment on: other VMs
learn of a new registration within `_SPREAD_S`. `known_since` therefore states from when all others
count this VM. A registration that a process finds at its start is that of its predecessor, which
they have counted until now.

Relies on the store view for registrations, and on `heard`, the VMs that sent heartbeats. Owns the
removed registrations. The number shows in the metric `limit_vms`. Times are monotonic, in seconds.
Tests: `test_gateway_known_vms`.
"""

from collections.abc import Callable, Collection
from typing import Optional

from ..resources import Member
from ..state.store_view import Change, StoreView

_KEEP_S = 60.0
"""Time for which a VM counts after its registration was removed, in seconds: longer than a VM stays
unregistered that runs, and than the windows of the limits. A high number is the safe side."""

_SPREAD_S = 3.0
"""Time within which all VMs in touch hold a new registration, in seconds."""


class KnownVms:
    """The VMs that may share limits of the whole fleet.

    Args:
        name: Name of this VM, which counts whether it is registered or not.
        store_view: Registered VMs.
        heard: Returns the names of VMs that sent heartbeats lately.

    Attributes:
        unregistered: Names of VMs that were heard of and are not registered, as of `refresh`.
        known_since: Monotonic time from which all other VMs count this one, in seconds; minus
            infinity if they counted its predecessor.
        version: Changes whenever the VMs that count do.
    """

    def __init__(
        self,
        name: str,
        store_view: StoreView,
        heard: Callable[[], Collection[str]] = lambda: (),
    ) -> None:
        self.name = name
        self.store_view = store_view
        self.heard = heard
        self.unregistered: frozenset[str] = frozenset()
        self.known_since = float("-inf")
        self.version = 0
        self._loaded_at: Optional[float] = None
        self._removed: dict[str, tuple[Member, float]] = {}
        store_view.listeners.append(self._on_change)

    def members(self) -> dict[str, Member]:
        """Return the registrations by name, those that were removed lately included."""
        removed = {name: member for name, (member, _) in self._removed.items()}
        return {**removed, **self.store_view.members}

    def own_member(self) -> Optional[Member]:
        """Return this VM's registration, or the one removed lately; None without any."""
        removed = self._removed.get(self.name)
        return self.store_view.members.get(self.name) or (removed[0] if removed else None)

    def refresh(self) -> None:
        """Look for VMs that were heard of and are not registered; part of the upkeep."""
        counted = {self.name, *self._removed, *self.store_view.members}
        unregistered = frozenset(self.heard()) - counted
        if unregistered != self.unregistered:
            self.unregistered = unregistered
            self.version += 1

    def count(self) -> int:
        """Return the number of VMs, this one included."""
        return len({self.name, *self._removed, *self.store_view.members, *self.heard()})

    def forget_old(self, now: float) -> None:
        """Drop registrations that were removed long ago; part of the regular sweep."""
        kept = {
            name: (member, at)
            for name, (member, at) in self._removed.items()
            if now - at < _KEEP_S and name not in self.store_view.members
        }
        if kept.keys() != self._removed.keys():
            self._removed = kept
            self.version += 1

    def _on_change(self, change: Change) -> None:
        if self._loaded_at is None:
            self._loaded_at = change.at
        if not isinstance(change.before or change.after, Member):
            return
        self.version += 1
        if isinstance(change.before, Member) and change.after is None:
            self._removed[change.before.name] = (change.before, change.at)
        elif isinstance(change.after, Member) and change.after.name == self.name:
            self._record_registration(change)

    def _record_registration(self, change: Change) -> None:
        """Record since when other VMs know this one, if they may not have known it before."""
        new = change.before is None and self.name not in self._removed
        if new and change.at != self._loaded_at:
            self.known_since = change.at + _SPREAD_S
