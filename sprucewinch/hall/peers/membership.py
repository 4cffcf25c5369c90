"""Membership: the entry VMs that this one knows of, and which of them are live.

`Membership` owns the table of members, this VM's own entry, and the time at which each entry was
last replaced by a newer one; the failure detector is based on that time. `exchange` passes received
entries in. Entries of this hall are also indexed separately, since `slots` divides the hall's slots
by them on every tick.
"""

from typing import Optional

from ..slots import member_list_digest
from .peer_pb2 import GONE, JOINING, LEAVING, SERVING, Member

LIVENESS_TIMEOUT_S = 3.0
"""Time without a newer entry after which a member is not live, in seconds: three rounds of exchange
of 1 s. Together with the 1.5 s of `slots.MEMBER_LIST_TTL_S` it stays below the 5 s of
`slots.TAKEOVER_DELAY_S`."""

MEMBER_RETENTION_S = 60.0
"""Time without a newer entry after which a member is dropped from the table, in seconds."""


class MemberRecord:
    """A member's newest entry and the time at which it arrived here.

    Args:
        member: Its entry.
        received_at: Monotonic time, in seconds.
    """

    __slots__ = ("received_at", "member")

    def __init__(self, member: Member, received_at: float) -> None:
        self.member = member
        self.received_at = received_at


def member_id(member: Member) -> str:
    """Return the id of one incarnation of an entry VM: its name and incarnation."""
    return f"{member.vm}#{member.incarnation:x}"


class Membership:
    """The table of members.

    Args:
        own: This entry VM's own entry; `increment_version` changes its version.
        liveness_timeout_s: Time without a newer entry after which a member is not live, in seconds.

    Attributes:
        records: Newest entry of every other member, by VM name.
        hall_records: The part of `records` that belongs to this VM's data hall.
        superseded: True once another process of this VM's name has a higher incarnation.
    """

    def __init__(self, own: Member, *, liveness_timeout_s: float = LIVENESS_TIMEOUT_S) -> None:
        self.own = own
        self.liveness_timeout_s = liveness_timeout_s
        self.records: dict[str, MemberRecord] = {}
        self.hall_records: dict[str, MemberRecord] = {}
        self.superseded = False

    def increment_version(self) -> None:
        """Increment the version of this VM's own entry, so that other VMs replace theirs."""
        self.own.version += 1

    def update(self, member: Member, now: float) -> bool:
        """Store a member's entry if it is newer.

        Args:
            member: Its entry.
            now: Monotonic time, in seconds.

        Returns:
            True when it was newer. False otherwise, and for any entry with this VM's own name.
        """
        if member.vm == self.own.vm:
            self._update_own_incarnation(member)
            return False
        known = self.records.get(member.vm)
        if known is not None and version_of(member) <= version_of(known.member):
            return False
        # The entry is copied, since a reference to it would keep the whole message in memory.
        copy = Member()
        copy.CopyFrom(member)
        record = self.records[member.vm] = MemberRecord(copy, now)
        if member.hall == self.own.hall:
            self.hall_records[member.vm] = record
        else:
            self.hall_records.pop(member.vm, None)
        return True

    def _update_own_incarnation(self, member: Member) -> None:
        """Resolve a conflict with another process of this VM's name: the higher incarnation wins.

        A process that is still joining takes a higher incarnation, since its clock may be slow. One
        that is past joining is superseded.
        """
        if member.incarnation <= self.own.incarnation:
            return
        if self.own.state == JOINING:
            _start_incarnation(self.own, member.incarnation + 1)
        else:
            self.superseded = True

    def live(self, now: float) -> list[Member]:
        """Return all live members, this VM included."""
        return [self.own, *self._live_of(self.records, now)]

    def serving(self, now: float) -> list[Member]:
        """Return the live members that accept callers."""
        return [m for m in self.live(now) if m.state == SERVING]

    def of_hall(self, now: float) -> list[Member]:
        """Return the live members of this VM's data hall, this VM included."""
        return [self.own, *self._live_of(self.hall_records, now)]

    def _live_of(self, records: dict[str, MemberRecord], now: float) -> list[Member]:
        oldest = now - self.liveness_timeout_s
        return [r.member for r in records.values() if r.received_at >= oldest]

    def slot_holders(self, now: float) -> tuple[str, ...]:
        """Return the ids of the members that divide the hall's slots, sorted."""
        holding = (SERVING, LEAVING)
        return tuple(sorted(member_id(m) for m in self.of_hall(now) if m.state in holding))

    def view_confirmed(self, now: float) -> bool:
        """Return whether every other slot holder of the hall reports the same list of them."""
        digest = member_list_digest(self.slot_holders(now))
        others = [m for m in self.of_hall(now) if m is not self.own]
        return all(m.hall_view == digest for m in others if m.state in (SERVING, LEAVING))

    def finished(self) -> frozenset[str]:
        """Return the ids of this hall's members that report that they hold no slots any more."""
        finished = (r.member for r in self.hall_records.values() if r.member.state == GONE)
        return frozenset(member_id(member) for member in finished)

    def find(self, vm: str) -> Optional[Member]:
        """Return a member by its name, live or not."""
        if vm == self.own.vm:
            return self.own
        record = self.records.get(vm)
        return record.member if record else None

    def age_s(self, vm: str, now: float) -> Optional[float]:
        """Return the time since a member's newest entry arrived, in seconds; None without one."""
        if vm == self.own.vm:
            return 0.0
        record = self.records.get(vm)
        return now - record.received_at if record else None

    def entries(self) -> list[Member]:
        """Return all entries held, live or not; this VM's own comes first."""
        return [self.own, *(record.member for record in self.records.values())]

    def drop_expired(self, now: float) -> None:
        """Drop members without a newer entry for `MEMBER_RETENTION_S`."""
        expired = [
            vm
            for vm, record in self.records.items()
            if now - record.received_at > MEMBER_RETENTION_S
        ]
        for vm in expired:
            del self.records[vm]
            self.hall_records.pop(vm, None)


def version_of(member: Member) -> tuple[int, int]:
    """Return the sort key of one member's entries: incarnation, then version."""
    return (member.incarnation, member.version)


def _start_incarnation(member: Member, incarnation: int) -> None:
    """Set an entry's incarnation and restart its versions at 1."""
    member.incarnation = incarnation
    member.version = 1
