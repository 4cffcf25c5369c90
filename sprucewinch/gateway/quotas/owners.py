"""Rule: which VMs hold the parts of a quota, and how large each part is.

Question: whom does a VM ask for requests of a workspace or server, and may this VM answer? Inputs:
registered VMs with their data halls, whether a VM is in touch, the quota's name and capacity in
requests, time in monotonic seconds.

Rule: data halls hold equal parts, at most `MOST_PARTS` of them, and no more than leave each part
`LEAST_CAPACITY` requests, but one a region; which ones is drawn by hash, region by region. Within
a hall the part belongs to the first VM by hash that is in touch. Of the hall's part it gives what
the VMs in touch there are of those registered there, so that a hall that falls apart gives no more
than before. A VM counts as in touch for `SILENCE_S` after this process began, as nobody can be
heard sooner.

Why so: with parts in fixed halls, VMs that are cut off from each other spend different parts, and a
hall that is cut off spends its own; no VM has to know that. Halls, not VMs: the part of one VM is
far less than one request for most workspaces, and its callers are not spread evenly. Not one owner
in the fleet: when it dies nobody serves the workspace until that is known.

A server's quota is a few requests a second, too few to be divided. One VM of the server's own hall
gives them: whoever is cut off from that VM is mostly cut off from the server too.

Constants: `MOST_PARTS`, `LEAST_CAPACITY`, `_LOOK_S`. Tests: tests/test_gateway_quota.py.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple, Optional

from ..._hash import hash64
from ..membership.gossip import SILENCE_S
from ..resources import Member
from .quota import Quota

MOST_PARTS = 6
"""Most data halls that hold parts of one workspace's limit: a VM that finds parts empty asks one
after the other."""

LEAST_CAPACITY = 4.0
"""Least capacity of a part, in requests, beyond one part a region: a small bucket is often empty by
chance, and then another region has to be asked."""

_WHOLE = 0
"""Number of parts in the key of a quota that has one owner."""

_LOOK_S = 0.25
"""Time between two looks at which VMs are in touch, in seconds."""


class Owner(NamedTuple):
    """The VM that holds one part of a workspace's limit.

    Args:
        hall: The data hall whose part it is.
        name: The VM.
        part: Size of the part, from 0 to 1.
    """

    hall: str
    name: str
    part: float


class HallMembers(NamedTuple):
    """The VMs of one data hall.

    Args:
        registered: How many are registered.
        in_touch: Names of those in touch.
    """

    registered: int
    in_touch: tuple[str, ...]


class QuotaOwners:
    """The owners of all workspaces' parts, as this VM sees them.

    Args:
        members: Registered VMs by name; read at each look.
        in_touch: Returns whether a VM is in touch at a monotonic time, in seconds.
        regions: Region of each data hall.
        name: Name of this VM.
        started_at: Monotonic time of this process's start, in seconds.

    Attributes:
        changed_at: Monotonic time since which all owners are the same, in seconds.
    """

    def __init__(
        self,
        members: Callable[[], Mapping[str, Member]],
        in_touch: Callable[[str, float], bool],
        *,
        regions: Mapping[str, str],
        name: str,
        started_at: float,
    ) -> None:
        self.regions = regions
        self.members = members
        self.in_touch = in_touch
        self.name = name
        self.started_at = started_at
        self._halls: dict[str, HallMembers] = {}
        self._region_count = 0
        self._kept: dict[tuple[str, int], tuple[Owner, ...]] = {}
        self._looked_at = float("-inf")
        self.changed_at = started_at

    def of(self, workspace: str, capacity: float, now: float) -> tuple[Owner, ...]:
        """Return the owners of a workspace's parts; none where no VM is registered.

        Args:
            workspace: Its name.
            capacity: Most requests that all parts hold.
            now: Monotonic time, in seconds.
        """
        self.look(now)
        wanted = max(self._region_count, int(capacity / LEAST_CAPACITY))
        most = min(MOST_PARTS, len(self._halls), wanted, max(1, int(capacity)))
        key = (workspace, most)
        found = self._kept.get(key)
        if found is None:
            found = self._kept[key] = self._owners(workspace, most)
        return found

    def of_quota(self, quota: Quota, now: float) -> tuple[Owner, ...]:
        """Return the owners of a quota's parts; a hall's quota has one owner.

        Args:
            quota: The quota.
            now: Monotonic time, in seconds.
        """
        if not quota.hall:
            return self.of(quota.name, quota.limit.capacity, now)
        self.look(now)
        key = (quota.name, _WHOLE)
        found = self._kept.get(key)
        if found is None:
            found = self._kept[key] = self._whole_owner(quota)
        return found

    def own_part(self, quota: Quota, now: float) -> float:
        """Return the part that this VM itself holds; 0 for none."""
        owners = self.of_quota(quota, now)
        return sum(owner.part for owner in owners if owner.name == self.name)

    def vm_count(self) -> int:
        """Return how many VMs are registered."""
        return sum(hall.registered for hall in self._halls.values())

    def look(self, now: float) -> None:
        """Look which VMs are in touch, unless that was done a moment ago.

        Args:
            now: Monotonic time, in seconds.
        """
        if now - self._looked_at < _LOOK_S:
            return
        self._looked_at = now
        halls = self._halls_now(now)
        if halls != self._halls:
            self._halls = halls
            self.changed_at = now
            self._region_count = len({self.regions.get(hall) for hall in halls})
            self._kept.clear()

    def _halls_now(self, now: float) -> dict[str, HallMembers]:
        names: dict[str, list[str]] = {}
        for member in self.members().values():
            names.setdefault(member.hall, []).append(member.name)
        return {
            hall: HallMembers(
                len(vms), tuple(sorted(name for name in vms if self._counts(name, now)))
            )
            for hall, vms in sorted(names.items())
        }

    def _counts(self, name: str, now: float) -> bool:
        if name == self.name or now - self.started_at < SILENCE_S:
            return True
        return self.in_touch(name, now)

    def _whole_owner(self, quota: Quota) -> tuple[Owner, ...]:
        """Return the one VM that gives all of a hall's quota: of that hall where any is in touch.

        Else of its region, else of another one. It gives the whole also where VMs of the hall are
        missing: a hall whose VMs lose each other is the exception, and a restart of one is not.
        """
        region = self.regions.get(quota.hall)
        halls = [hall for hall, vms in self._halls.items() if vms.in_touch]
        if not halls:
            return ()

        def distance(hall: str) -> tuple[bool, bool, int]:
            away = self.regions.get(hall) != region
            return hall != quota.hall, away, hash64(f"part|{quota.name}|{hall}")

        nearest = min(halls, key=distance)
        return (Owner(nearest, self._first(quota.name, nearest), 1.0),)

    def _first(self, name: str, hall: str) -> str:
        """Return the first VM by hash of those in touch in a hall."""
        return min(self._halls[hall].in_touch, key=lambda vm: hash64(f"quota|{name}|{vm}"))

    def _owners(self, workspace: str, most: int) -> tuple[Owner, ...]:
        found = []
        for hall in self._drawn(workspace)[:most]:
            vms = self._halls[hall]
            if vms.in_touch:
                part = len(vms.in_touch) / vms.registered / most
                found.append(Owner(hall, self._first(workspace, hall), part))
        return tuple(found)

    def _drawn(self, workspace: str) -> list[str]:
        """Return all halls in a workspace's order: one of each region before the second of any."""
        by_hash = sorted(self._halls, key=lambda hall: hash64(f"part|{workspace}|{hall}"))
        seen: Counter[Optional[str]] = Counter()
        turns = {}
        for hall in by_hash:
            region = self.regions.get(hall)
            turns[hall] = seen[region]
            seen[region] += 1
        return sorted(by_hash, key=turns.__getitem__)
