"""Knows the VMs among which limits of the whole fleet are divided.

Those are the registered VMs and those whose registration was removed within `_KEEP_S`. A VM that is
no longer registered may still send: its lease may have lapsed, the store may have lost it or may
refuse that VM. What it has spent of a limit also counts on for the limit's window. VMs that were
heard of without being registered count for the number of VMs.

Relies on the store view for registrations, and on `heard`, the VMs that sent heartbeats. Owns the
removed registrations. The number shows in the metric `limit_vms`. Times are monotonic, in seconds.
Tests: `test_gateway_known_vms`.
"""

from collections.abc import Callable, Collection

from ..resources import Member
from ..state.store_view import Change, StoreView

_KEEP_S = 60.0
"""Time for which a VM counts after its registration was removed, in seconds: longer than a VM stays
unregistered that runs, and than the windows of the limits. A high number is the safe side."""


class KnownVms:
    """The VMs that may share limits of the whole fleet.

    Args:
        name: Name of this VM, which counts whether it is registered or not.
        store_view: Registered VMs.
        heard: Returns the names of VMs that sent heartbeats lately.
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
        self._removed: dict[str, tuple[Member, float]] = {}
        store_view.listeners.append(self._on_change)

    def members(self) -> dict[str, Member]:
        """Return the registrations by name, those that were removed lately included."""
        removed = {name: member for name, (member, _) in self._removed.items()}
        return {**removed, **self.store_view.members}

    def count(self) -> int:
        """Return the number of VMs, this one included."""
        return len({self.name, *self._removed, *self.store_view.members, *self.heard()})

    def forget_old(self, now: float) -> None:
        """Drop registrations that were removed long ago; part of the regular sweep."""
        self._removed = {
            name: (member, at)
            for name, (member, at) in self._removed.items()
            if now - at < _KEEP_S and name not in self.store_view.members
        }

    def _on_change(self, change: Change) -> None:
        if isinstance(change.before, Member) and change.after is None:
            self._removed[change.before.name] = (change.before, change.at)
