"""Membership: which entry VMs there are, as far as this one knows."""

from collections.abc import Iterable
from typing import Optional

from ..slots import view_digest
from .peer_pb2 import GONE, JOINING, LEAVING, SERVING, Known, Member

SILENT_S = 3.0
"""Silence after which a member is no longer counted as live, in seconds."""

FORGET_S = 60.0
"""Silence after which a member is dropped from the table, in seconds."""


class MemberRecord:
    """A member and when this VM last heard something newer of it.

    Args:
        member: What it said of itself.
        heard_at: Monotonic time, in seconds.
    """

    __slots__ = ("heard_at", "member")

    def __init__(self, member: Member, heard_at: float) -> None:
        self.member = member
        self.heard_at = heard_at


def member_id(member: Member) -> str:
    """Return the name of one incarnation of an entry VM."""
    return f"{member.vm}#{member.incarnation:x}"


class Membership:
    """The table of members.

    Args:
        own: What this entry VM says of itself; its version grows with `touch`.
        silent_s: Silence after which a member is not live, in seconds.
    """

    def __init__(self, own: Member, *, silent_s: float = SILENT_S) -> None:
        self.own = own
        self.silent_s = silent_s
        self.records: dict[str, MemberRecord] = {}
        self.neighbours: dict[str, MemberRecord] = {}
        self.superseded = False

    def touch(self) -> None:
        """Raise the version of this VM's own entry."""
        self.own.version += 1

    def observe(self, member: Member, now: float) -> bool:
        """Take over what a member said, when it is newer.

        Args:
            member: Its entry.
            now: Monotonic time, in seconds.

        Returns:
            True when it was newer.
        """
        if member.vm == self.own.vm:
            self._observe_namesake(member)
            return False
        known = self.records.get(member.vm)
        if known is not None and _age(member) <= _age(known.member):
            return False
        # A copy of its own, since a part of a message would keep the whole message in memory.
        own_copy = Member()
        own_copy.CopyFrom(member)
        record = self.records[member.vm] = MemberRecord(own_copy, now)
        if member.hall == self.own.hall:
            self.neighbours[member.vm] = record
        else:
            self.neighbours.pop(member.vm, None)
        return True

    def _observe_namesake(self, member: Member) -> None:
        """A newer process of the same name has taken over; an older one is taken over."""
        if member.incarnation <= self.own.incarnation:
            return
        if self.own.state == JOINING:
            self.own.incarnation = member.incarnation + 1
            self.own.version = 1
        else:
            self.superseded = True

    def live(self, now: float) -> list[Member]:
        """Return all members heard of lately, this VM included."""
        return [self.own, *self._heard(self.records, now)]

    def serving(self, now: float) -> list[Member]:
        """Return the live members that callers may be sent to."""
        return [m for m in self.live(now) if m.state == SERVING]

    def of_hall(self, now: float) -> list[Member]:
        """Return the live members of this VM's data hall, this VM included."""
        return [self.own, *self._heard(self.neighbours, now)]

    def _heard(self, records: dict[str, MemberRecord], now: float) -> list[Member]:
        since = now - self.silent_s
        return [r.member for r in records.values() if r.heard_at >= since]

    def slot_holders(self, now: float) -> tuple[str, ...]:
        """Return the incarnations that divide the hall's slots, sorted."""
        holding = (SERVING, LEAVING)
        return tuple(sorted(member_id(m) for m in self.of_hall(now) if m.state in holding))

    def view_confirmed(self, now: float) -> bool:
        """Tell whether every other slot holder of the hall lists the same slot holders."""
        view = view_digest(self.slot_holders(now))
        others = [m for m in self.of_hall(now) if m is not self.own]
        return all(m.hall_view == view for m in others if m.state in (SERVING, LEAVING))

    def finished(self) -> frozenset[str]:
        """Return the incarnations of this hall that said that they have finished."""
        gone = (r.member for r in self.neighbours.values() if r.member.state == GONE)
        return frozenset(member_id(member) for member in gone)

    def find(self, vm: str) -> Optional[Member]:
        """Return a member by its name, live or not."""
        if vm == self.own.vm:
            return self.own
        record = self.records.get(vm)
        return record.member if record else None

    def age_s(self, vm: str, now: float) -> Optional[float]:
        """Return how long ago a member was heard of, in seconds; None when never."""
        if vm == self.own.vm:
            return 0.0
        record = self.records.get(vm)
        return now - record.heard_at if record else None

    def known(self) -> list[Known]:
        """Return the versions held, for an exchange."""
        members = [self.own, *(record.member for record in self.records.values())]
        return [Known(vm=m.vm, incarnation=m.incarnation, version=m.version) for m in members]

    def newer_than(self, known: Iterable[Known]) -> list[Member]:
        """Return the entries that are newer than somebody else's."""
        theirs = {k.vm: (k.incarnation, k.version) for k in known}
        members = [self.own, *(record.member for record in self.records.values())]
        return [m for m in members if _age(m) > theirs.get(m.vm, (0, 0))]

    def older_than(self, known: Iterable[Known]) -> list[str]:
        """Return the members of which somebody else has a newer entry."""
        wanted = []
        for k in known:
            member = self.find(k.vm)
            if member is None or (k.incarnation, k.version) > _age(member):
                wanted.append(k.vm)
        return wanted

    def select(self, vms: Iterable[str]) -> list[Member]:
        """Return the entries of some members."""
        return [m for m in map(self.find, vms) if m is not None]

    def forget(self, now: float) -> None:
        """Drop members that have not been heard of for long."""
        old = [vm for vm, record in self.records.items() if now - record.heard_at > FORGET_S]
        for vm in old:
            del self.records[vm]
            self.neighbours.pop(vm, None)


def _age(member: Member) -> tuple[int, int]:
    return (member.incarnation, member.version)
