"""The rule of slots: how many requests this VM may run on each backend server of its data hall.

Owns the slots that this VM holds; relies on the caller for the list of the hall's VMs (names), the
pools (slots a server) and the time (monotonic seconds), and does no I/O.

The rule: each slot of each server has one owner, which every VM computes from the list of the
hall's VMs: the members, in the order of a hash of server and member, take slots in turn. A VM
gives up a slot in the same round in which its own list names another owner. It takes a slot only
once every listed VM has confirmed the same list and `HOLD_S` has passed since a VM that did not
announce its end was dropped. A list that is older than `TRUST_S` gives no slots at all, so a
process that was paused holds nothing when it goes on.

Why this way: leases in the store for each VM are 930 writes a second at 2,800 VMs, of 400 that the
store bears; and without a division the servers' own refusals would be the usual way to find their
limit (docs/DESIGN.md, "Slots"). Not covered: a partition inside a hall in which both sides take the
other for gone; there only the servers' own refusals bound the load (docs/PROMISES.md).

Constants: `HOLD_S`, `TRUST_S`. The result shows as `capacity` in a VM's loads, and a request that
finds no slot is refused as `no-room`. Tests: `tests.test_slots`.
"""

import math

from .._hash import hash64
from ..config.configuration import Pool

HOLD_S = 5.0
"""Time for which slots of a dropped VM are left alone, in seconds: the 3 s of silence after which
the other side drops this VM too (`peers.membership.SILENT_S`), plus `TRUST_S`, plus 0.5 s. The
margin of 0.5 s is one round of `loops.TICK_S`."""

TRUST_S = 1.5
"""Time for which a list of VMs counts without being renewed, in seconds: three rounds of
`loops.TICK_S`."""


def slot_owner(server: str, index: int, members: tuple[str, ...]) -> str:
    """Return the member that owns one slot of a backend server.

    Args:
        server: Address of the backend server.
        index: Number of the slot, from 0.
        members: Members of the hall; not empty.

    Returns:
        A member. The slots of one server are dealt out in turn, so that the members' counts differ
        by at most one.
    """
    order = sorted(members, key=lambda member: hash64(f"{server}|{member}"))
    return order[index % len(order)]


def view_digest(members: tuple[str, ...]) -> str:
    """Return a short digest of a list of members, equal only for equal lists."""
    return f"{hash64('|'.join(sorted(members))):x}"


class SlotShare:
    """The slots that one entry VM may use.

    Args:
        me: This member.
        hold_s: Time for which slots that a dropped member may still use are left alone, in
            seconds. Must be longer than the silence after which a member is dropped plus `trust_s`.
        trust_s: Time for which the list counts without being renewed, in seconds.
    """

    def __init__(self, me: str, *, hold_s: float = HOLD_S, trust_s: float = TRUST_S) -> None:
        self.me = me
        self.hold_s = hold_s
        self.trust_s = trust_s
        self.members: tuple[str, ...] = ()
        self.pools: tuple[Pool, ...] = ()
        self._held: dict[str, list[bool]] = {}
        self._renewed_at = -math.inf
        self._settled_at = math.inf

    def identify(self, me: str) -> None:
        """Set this member's name, which is final once the VM serves."""
        self.me = me

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
            finished: Members that reported that they hold no slots any more.
        """
        members = tuple(sorted(members))
        self._forget_when_paused(now)
        dropped = set(self.members) - set(members) - finished
        if dropped:
            self._settled_at = max(self._settled_at, now + self.hold_s)
        if members != self.members or pools != self.pools:
            self.members = members
            self.pools = pools
            self._give_up()
        if confirmed and now >= self._settled_at:
            self._take()

    def _forget_when_paused(self, now: float) -> None:
        if now - self._renewed_at > self.trust_s:
            self._held = {}
            self._settled_at = now + self.hold_s
        self._renewed_at = now

    def _owned(self) -> dict[str, list[bool]]:
        if self.me not in self.members:
            return {}
        return {
            server: [slot_owner(server, i, self.members) == self.me for i in range(pool.slots)]
            for pool in self.pools
            for server in pool.servers
        }

    def _give_up(self) -> None:
        kept = {}
        for server, owned in self._owned().items():
            held = self._held.get(server, [])
            kept[server] = [mine and i < len(held) and held[i] for i, mine in enumerate(owned)]
        self._held = kept

    def _take(self) -> None:
        self._held = self._owned()

    def usable(self, server: str, now: float) -> int:
        """Return the number of slots of a backend server that may be used now."""
        if now - self._renewed_at > self.trust_s:
            return 0
        return sum(self._held.get(server, ()))
