"""Division of a data hall's backend server slots among the hall's entry VMs.

Each slot of each backend server belongs to one entry VM of the hall, by a rule that every VM
works out from the list of the hall's VMs. A VM gives up a slot as soon as its own list says so.
It takes a slot only when every listed VM has confirmed the same list, and when no VM that might
still believe in an older list was dropped within the last `hold_s`.
"""

import math

from .._hash import hash64
from ..config.configuration import Pool


def slot_owner(server: str, index: int, members: tuple[str, ...]) -> str:
    """Return which member owns one slot of a backend server.

    Args:
        server: Address of the backend server.
        index: Number of the slot, from 0.
        members: Members of the hall; not empty.

    Returns:
        A member. For each server the slots go round the members, so shares differ by one at most.
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
        hold_s: How long slots that a dropped member may still use are left alone, in seconds.
            Longer than the time after which a silent member is dropped plus `trust_s`.
        trust_s: How long the list is trusted without being renewed, in seconds. A process that
            was paused for longer holds no slots when it goes on.
    """

    def __init__(self, me: str, *, hold_s: float = 5.0, trust_s: float = 1.5) -> None:
        self.me = me
        self.hold_s = hold_s
        self.trust_s = trust_s
        self.members: tuple[str, ...] = ()
        self.pools: tuple[Pool, ...] = ()
        self._held: dict[str, list[bool]] = {}
        self._renewed_at = -math.inf
        self._settled_at = math.inf

    def renew(
        self,
        members: tuple[str, ...],
        pools: tuple[Pool, ...],
        now: float,
        *,
        confirmed: bool,
        finished: frozenset[str] = frozenset(),
    ) -> None:
        """Take over the present list of members and pools.

        Args:
            members: Members of the hall that hold slots.
            pools: Pools of the hall.
            now: Monotonic time, in seconds.
            confirmed: True when every other member says that it has the same list.
            finished: Members that said themselves that they hold no slots any more.
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
        """Return how many slots of a backend server may be used now."""
        if now - self._renewed_at > self.trust_s:
            return 0
        return sum(self._held.get(server, ()))

    def total(self, now: float) -> int:
        """Return how many slots of all backend servers may be used now."""
        if now - self._renewed_at > self.trust_s:
            return 0
        return sum(sum(held) for held in self._held.values())
