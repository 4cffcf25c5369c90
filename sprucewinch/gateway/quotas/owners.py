"""Decides which VMs hold the parts of a quota, and how large each part is.

The inputs are the registered VMs with their data halls, whether a VM is in touch, the quota's name
and its capacity in requests, and monotonic time in seconds. A VM asks the owners for requests of a
workspace or a server, and answers for the parts that it owns itself.

Data halls hold equal parts. At most `MAX_PARTS` halls do, and no more than leave each part
`MIN_PART_CAPACITY` requests, but at least one a region; a hash selects them, region by region.
Within a hall the part belongs to the VM with the lowest hash among those in touch. Of the hall's
part that VM grants the fraction of the hall's registered VMs that are in touch, so that a hall that
is partitioned grants no more than before. For `HEARTBEAT_TIMEOUT_S` after the start of this process
every VM counts as in touch, because no heartbeat can arrive sooner. `_REFRESH_INTERVAL_S` is the
time between two checks of the VMs in touch.

Because the parts belong to fixed halls, VMs that are partitioned from each other use different
parts, and a hall that is cut off uses its own, without any VM having to detect it. The parts belong
to halls and not to VMs, because one VM's part would be far less than one request for most
workspaces, and callers are not spread evenly over VMs. There is no single owner in the fleet,
because nobody would serve the workspace from its failure until the failure is detected.

A server's quota is a few requests a second, too few to be divided. One VM in the server's own hall
grants them: whoever is cut off from that VM is mostly cut off from the server too.

tests/test_gateway_quota.py tests this module.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from typing import NamedTuple, Optional

from ..._hash import hash64
from ..membership.gossip import HEARTBEAT_TIMEOUT_S
from ..resources import Member
from .quota import Quota

MAX_PARTS = 6
"""Data halls that hold parts of one quota: a VM that finds parts empty asks one after the other."""

MIN_PART_CAPACITY = 4.0
"""Smallest capacity of a part, in requests, where there are more parts than regions: a small bucket
is often empty by chance, and then another region has to be asked."""

_SINGLE_OWNER = 0
"""Number of parts in the cache key of a quota that has one owner."""

_REFRESH_INTERVAL_S = 0.25
"""Time between two checks of which VMs are in touch, in seconds."""


class Owner(NamedTuple):
    """The VM that holds one part of a quota.

    Args:
        hall: The data hall to which the part belongs.
        name: Name of the VM.
        part: Size of the part, from 0 to 1.
    """

    hall: str
    name: str
    part: float


class HallMembers(NamedTuple):
    """The VMs of one data hall.

    Args:
        registered: Number of registered VMs.
        in_touch: Names of those in touch.
    """

    registered: int
    in_touch: tuple[str, ...]


class QuotaOwners:
    """The owners of all quotas' parts, as this VM sees them.

    Args:
        members: Returns the registered VMs by name; called at each refresh.
        in_touch: Returns whether a VM is in touch at a monotonic time, in seconds.
        regions: Region of each data hall.
        name: Name of this VM.
        started_at: Monotonic time of this process's start, in seconds.

    Attributes:
        changed_at: Monotonic time at which the owners last changed, or this process started, in
            seconds.
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
        self._owners_cache: dict[tuple[str, int], tuple[Owner, ...]] = {}
        self._refreshed_at = float("-inf")
        self.changed_at = started_at

    def of(self, workspace: str, capacity: float, now: float) -> tuple[Owner, ...]:
        """Return the owners of the parts of a workspace's quota; none where no VM is registered.

        Args:
            workspace: Name of the workspace.
            capacity: Capacity of all parts together, in requests.
            now: Monotonic time, in seconds.
        """
        self.refresh(now)
        wanted = max(self._region_count, int(capacity / MIN_PART_CAPACITY))
        most = min(MAX_PARTS, len(self._halls), wanted, max(1, int(capacity)))
        key = (workspace, most)
        found = self._owners_cache.get(key)
        if found is None:
            found = self._owners_cache[key] = self._owners(workspace, most)
        return found

    def of_quota(self, quota: Quota, now: float) -> tuple[Owner, ...]:
        """Return the owners of a quota's parts; a quota of one hall has one owner.

        Args:
            quota: The quota.
            now: Monotonic time, in seconds.
        """
        if not quota.hall:
            return self.of(quota.name, quota.limit.capacity, now)
        self.refresh(now)
        key = (quota.name, _SINGLE_OWNER)
        found = self._owners_cache.get(key)
        if found is None:
            found = self._owners_cache[key] = self._single_owner(quota)
        return found

    def own_part(self, quota: Quota, now: float) -> float:
        """Return the part that this VM itself holds, from 0 to 1; 0 for none."""
        owners = self.of_quota(quota, now)
        return sum(owner.part for owner in owners if owner.name == self.name)

    def vm_count(self) -> int:
        """Return how many VMs are registered."""
        return sum(hall.registered for hall in self._halls.values())

    def refresh(self, now: float) -> None:
        """Refresh which VMs are in touch, at most once every `_REFRESH_INTERVAL_S`.

        Args:
            now: Monotonic time, in seconds.
        """
        if now - self._refreshed_at < _REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        halls = self._halls_now(now)
        if halls != self._halls:
            self._halls = halls
            self.changed_at = now
            self._region_count = len({self.regions.get(hall) for hall in halls})
            self._owners_cache.clear()

    def _halls_now(self, now: float) -> dict[str, HallMembers]:
        names: dict[str, list[str]] = {}
        for member in self.members().values():
            names.setdefault(member.hall, []).append(member.name)
        return {
            hall: HallMembers(
                len(vms), tuple(sorted(name for name in vms if self._counts_in_touch(name, now)))
            )
            for hall, vms in sorted(names.items())
        }

    def _counts_in_touch(self, name: str, now: float) -> bool:
        if name == self.name or now - self.started_at < HEARTBEAT_TIMEOUT_S:
            return True
        return self.in_touch(name, now)

    def _single_owner(self, quota: Quota) -> tuple[Owner, ...]:
        """Return the one VM that grants a hall's whole quota.

        It is in that hall where any VM there is in touch, else in its region, else in another one.
        It grants the whole even where VMs of the hall are missing, because the restart of one VM is
        common and a partition within a hall is not.
        """
        region = self.regions.get(quota.hall)
        halls = [hall for hall, vms in self._halls.items() if vms.in_touch]
        if not halls:
            return ()

        def distance(hall: str) -> tuple[bool, bool, int]:
            away = self.regions.get(hall) != region
            return hall != quota.hall, away, hash64(f"part|{quota.name}|{hall}")

        nearest = min(halls, key=distance)
        return (Owner(nearest, self._first_in_touch(quota.name, nearest), 1.0),)

    def _first_in_touch(self, name: str, hall: str) -> str:
        """Return the VM with the lowest hash of those in touch in a hall."""
        return min(self._halls[hall].in_touch, key=lambda vm: hash64(f"quota|{name}|{vm}"))

    def _owners(self, workspace: str, most: int) -> tuple[Owner, ...]:
        found = []
        for hall in self._halls_in_order(workspace)[:most]:
            vms = self._halls[hall]
            if vms.in_touch:
                part = len(vms.in_touch) / vms.registered / most
                found.append(Owner(hall, self._first_in_touch(workspace, hall), part))
        return tuple(found)

    def _halls_in_order(self, workspace: str) -> list[str]:
        """Return all halls in a workspace's order, one of each region before the second of any."""
        by_hash = sorted(self._halls, key=lambda hall: hash64(f"part|{workspace}|{hall}"))
        seen: Counter[Optional[str]] = Counter()
        index_in_region = {}
        for hall in by_hash:
            region = self.regions.get(hall)
            index_in_region[hall] = seen[region]
            seen[region] += 1
        return sorted(by_hash, key=index_in_region.__getitem__)
