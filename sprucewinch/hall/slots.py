"""Division of a data hall's slots: how many requests this VM may run on each backend server.

`SlotShare` owns the slots that this VM holds. The caller passes in the names of the hall's VMs, the
pools (slots of each server) and the time (monotonic seconds); nothing here does I/O.

Each slot of each server has exactly one owner, which every VM computes from the list of the hall's
VMs: the members are sorted by a hash of server and member, and own the slots in turn. A VM releases
a slot in the round in which its own list names another owner. It claims a slot only once every
listed VM has confirmed the same list and `TAKEOVER_DELAY_S` has passed since a VM was dropped that
had not announced its end. A list that has not been renewed for `MEMBER_LIST_TTL_S` gives no slots
at all, so a process that was paused holds nothing when it resumes.

Two alternatives are worse. Leases in the store for each VM would take 930 writes a second at 2,800
VMs, and the store accepts 400. Without a division, refusals by the servers would be the usual way
to find their limit (docs/DESIGN.md, "Slots"). Not covered is a partition inside a hall in which
each side drops the other; only the servers' own refusals bound the load then (docs/PROMISES.md).

The result is reported as `capacity` in a VM's loads, and a request that finds no free slot is
refused as `no-room`. Tested by `tests.test_slots`.
"""

import math

from .._hash import hash64
from ..config.configuration import Pool

TAKEOVER_DELAY_S = 5.0
"""Time before the slots of a dropped VM are claimed, in seconds: the 3 s of silence after which the
dropped VM drops this one too (`peers.membership.LIVENESS_TIMEOUT_S`), plus `MEMBER_LIST_TTL_S`,
plus a margin of 0.5 s, which is one round of `loops.TICK_S`."""

MEMBER_LIST_TTL_S = 1.5
"""Time for which a list of VMs is valid without being renewed, in seconds: three rounds of
`loops.TICK_S`."""


def slot_owner(server: str, index: int, members: tuple[str, ...]) -> str:
    """Return the member that owns one slot of a backend server.

    Args:
        server: Address of the backend server.
        index: Number of the slot, from 0.
        members: Members of the hall; not empty.

    Returns:
        The owning member. The slots of one server are assigned round-robin, so the members' counts
        differ by at most one.
    """
    order = sorted(members, key=lambda member: hash64(f"{server}|{member}"))
    return order[index % len(order)]


def member_list_digest(members: tuple[str, ...]) -> str:
    """Return a digest by which VMs compare their lists of members; the order does not matter."""
    return f"{hash64('|'.join(sorted(members))):x}"


class SlotShare:
    """The slots that one entry VM may use.

    Args:
        own_id: Id of this member.
        takeover_delay_s: Time before slots that a dropped member may still use are claimed, in
            seconds. Must be longer than the silence after which a member is dropped plus
            `member_list_ttl_s`.
        member_list_ttl_s: Time for which the list is valid without being renewed, in seconds.
    """

    def __init__(
        self,
        own_id: str,
        *,
        takeover_delay_s: float = TAKEOVER_DELAY_S,
        member_list_ttl_s: float = MEMBER_LIST_TTL_S,
    ) -> None:
        self.own_id = own_id
        self.takeover_delay_s = takeover_delay_s
        self.member_list_ttl_s = member_list_ttl_s
        self.members: tuple[str, ...] = ()
        self.pools: tuple[Pool, ...] = ()
        self._held: dict[str, list[bool]] = {}
        self._renewed_at = -math.inf
        self._claim_allowed_at = math.inf

    def set_own_id(self, own_id: str) -> None:
        """Set this member's id, which no longer changes once the VM serves."""
        self.own_id = own_id

    def renew(
        self,
        members: tuple[str, ...],
        pools: tuple[Pool, ...],
        now: float,
        *,
        confirmed: bool,
        finished: frozenset[str] = frozenset(),
    ) -> None:
        """Apply the current list of members and pools.

        Args:
            members: Members of the hall that hold slots.
            pools: Pools of the hall.
            now: Monotonic time, in seconds.
            confirmed: True when every other member reports the same list.
            finished: Members that have reported that they hold no slots any more.
        """
        members = tuple(sorted(members))
        self._reset_after_pause(now)
        dropped = set(self.members) - set(members) - finished
        if dropped:
            self._claim_allowed_at = max(self._claim_allowed_at, now + self.takeover_delay_s)
        if members != self.members or pools != self.pools:
            self.members = members
            self.pools = pools
            self._release_lost()
        if confirmed and now >= self._claim_allowed_at:
            self._claim_owned()

    def _reset_after_pause(self, now: float) -> None:
        if now - self._renewed_at > self.member_list_ttl_s:
            self._held = {}
            self._claim_allowed_at = now + self.takeover_delay_s
        self._renewed_at = now

    def _owned_slots(self) -> dict[str, list[bool]]:
        if self.own_id not in self.members:
            return {}
        return {
            server: [slot_owner(server, i, self.members) == self.own_id for i in range(pool.slots)]
            for pool in self.pools
            for server in pool.servers
        }

    def _release_lost(self) -> None:
        kept = {}
        for server, owned in self._owned_slots().items():
            held = self._held.get(server, [])
            kept[server] = [
                is_owned and i < len(held) and held[i] for i, is_owned in enumerate(owned)
            ]
        self._held = kept

    def _claim_owned(self) -> None:
        self._held = self._owned_slots()

    def usable_slots(self, server: str, now: float) -> int:
        """Return the number of slots of a backend server that may be used now."""
        if now - self._renewed_at > self.member_list_ttl_s:
            return 0
        return sum(self._held.get(server, ()))
