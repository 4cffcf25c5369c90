"""Membership: which entry VMs exist, as far as this one knows, and which of them are live.

Owns the table of members, this VM's own entry and the time at which each entry was last replaced by
a newer one; that time is the failure detector. Relies on `exchange` to bring entries in. Entries of
this hall are also kept apart, since `slots` divides the hall's slots by them on every tick.
"""

from typing import Optional

from ..slots import member_list_digest
from .peer_pb2 import GONE, JOINING, LEAVING, SERVING, Member

SILENT_S = 3.0
"""Time without a newer entry after which a member is not live, in seconds: three rounds of exchange
of 1 s. Together with the 1.5 s of `slots.MEMBER_LIST_TTL_S` it stays below the 5 s of
`slots.TAKEOVER_DELAY_S`."""

FORGET_S = 60.0
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
    """Return the name of one incarnation of an entry VM."""
    return f"{member.vm}#{member.incarnation:x}"


class Membership:
    """The table of members.

    Args:
        own: This entry VM's own entry; its version grows with `touch`.
        silent_s: Time without a newer entry after which a member is not live, in seconds.
    """

    def __init__(self, own: Member, *, silent_s: float = SILENT_S) -> None:
        self.own = own
        self.silent_s = silent_s
        self.records: dict[str, MemberRecord] = {}
        self.hall_records: dict[str, MemberRecord] = {}
        self.superseded = False

    def touch(self) -> None:
        """Raise the version of this VM's own entry."""
        self.own.version += 1

    def observe(self, member: Member, now: float) -> bool:
        """Store a member's entry if it is newer.

        Args:
            member: Its entry.
            now: Monotonic time, in seconds.

        Returns:
            True when it was newer; False also for an entry of this VM's own name.
        """
        if member.vm == self.own.vm:
            self._observe_own_name(member)
            return False
        known = self.records.get(member.vm)
        if known is not None and version_of(member) <= version_of(known.member):
            return False
        # A copy of its own, since a part of a message would keep the whole message in memory.
        own_copy = Member()
        own_copy.CopyFrom(member)
        record = self.records[member.vm] = MemberRecord(own_copy, now)
        if member.hall == self.own.hall:
            self.hall_records[member.vm] = record
        else:
            self.hall_records.pop(member.vm, None)
        return True

    def _observe_own_name(self, member: Member) -> None:
        """Compare with another process of this VM's name; the higher incarnation stays.

        A process that still joins takes a higher incarnation, since its clock may be slow. One that
        serves already is superseded.
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
        """Return the live members that take callers."""
        return [m for m in self.live(now) if m.state == SERVING]

    def of_hall(self, now: float) -> list[Member]:
        """Return the live members of this VM's data hall, this VM included."""
        return [self.own, *self._live_of(self.hall_records, now)]

    def _live_of(self, records: dict[str, MemberRecord], now: float) -> list[Member]:
        since = now - self.silent_s
        return [r.member for r in records.values() if r.received_at >= since]

    def slot_holders(self, now: float) -> tuple[str, ...]:
        """Return the incarnations that divide the hall's slots, sorted."""
        holding = (SERVING, LEAVING)
        return tuple(sorted(member_id(m) for m in self.of_hall(now) if m.state in holding))

    def view_confirmed(self, now: float) -> bool:
        """Return whether every other slot holder of the hall lists the same slot holders."""
        view = member_list_digest(self.slot_holders(now))
        others = [m for m in self.of_hall(now) if m is not self.own]
        return all(m.hall_view == view for m in others if m.state in (SERVING, LEAVING))

    def finished(self) -> frozenset[str]:
        """Return the incarnations of this hall that report that they have finished."""
        gone = (r.member for r in self.hall_records.values() if r.member.state == GONE)
        return frozenset(member_id(member) for member in gone)

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

    def forget(self, now: float) -> None:
        """Drop members without a newer entry for `FORGET_S`."""
        old = [vm for vm, record in self.records.items() if now - record.received_at > FORGET_S]
        for vm in old:
            del self.records[vm]
            self.hall_records.pop(vm, None)


def version_of(member: Member) -> tuple[int, int]:
    """Return what orders the entries of one member: incarnation, then version."""
    return (member.incarnation, member.version)


def _start_incarnation(member: Member, incarnation: int) -> None:
    """Give an entry a higher incarnation, whose versions start anew."""
    member.incarnation = incarnation
    member.version = 1
