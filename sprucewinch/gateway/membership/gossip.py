"""Rule: which entry VMs are in touch, by heartbeats that spread by gossip.

Question: does a VM run and reach others, does it accept callers, and can it follow the store?

Inputs: heartbeat messages of other VMs and the time (monotonic, in seconds). Each VM raises its own
counter every `HEARTBEAT_S` and sends the newest counters of its region's VMs in touch to `_FANOUT`
others of the region, and to as many VMs of other regions as `far_fanout` says.

Rule: a VM whose counter has not risen here for `SILENCE_S` is out of touch: callers are not sent to
it and it is not elected. After `_DROP_ROW_S` its row is dropped. When this process itself stood
still, the times of all rows move by that pause, as heartbeats may have arrived unread.

Why: gossip needs no call to the store and its load on a VM does not depend on one other VM. What
a region's VMs know of each other crosses to other regions in the sender's own messages and is not
handed on there: callers are named the VMs of their region, and rows that every VM hands on to all
others grow with the square of the fleet. At 195 VMs in three regions it takes the bytes between
regions from 1.6 to 0.57 MB a second (10 s of `test_gateway_gossip.Bytes`). With a limit of 30 rows
a message a quarter of 90 VMs was out of touch (docs/CAPACITY.md), so none applies.

Result: `members` of `/state` and the metric `members_open`. Tests: `test_gateway_gossip`.
"""

import math
import random
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple, Optional, TypeVar

import msgspec

HEARTBEAT_S = 0.5
"""Pause between two heartbeats of a VM, in seconds. Each of 89 VMs sends 19 KB/s with it
(docs/CAPACITY.md)."""

SILENCE_S = 2.5
"""Time without a newer heartbeat after which a VM is out of touch, in seconds: five heartbeats. No
VM that runs is dropped at 12 and 90 VMs without loss (`test_gateway_gossip`)."""

_FANOUT = 3
"""VMs that get each heartbeat. 90 VMs know each other within 4 s (`test_gateway_gossip`)."""

_FAR_PAUSE_S = 0.5
"""Mean time between two messages that a VM gets from each other region, in seconds: within
`SILENCE_S` none comes in 7 of 1,000 cases (for random senders), and then look-ups for that region
name this region's VMs, until the next one."""

_MOST_FAR = 4
"""Most VMs of other regions that get one heartbeat, so that a region with few VMs beside a large
one does not spend its links on heartbeats."""

_DROP_ROW_S = 60.0
"""Time without a newer heartbeat after which a VM's row is dropped, in seconds. Its link width is
kept until then."""

_OWN_PAUSE_S = 1.0
"""Delay of this VM's own heartbeat beyond which this process counts as having stood still, in
seconds."""

T = TypeVar("T")


class HeartbeatRow(msgspec.Struct, array_like=True, frozen=True):
    """The newest heartbeat of one VM.

    Args:
        name: Its name.
        incarnation: Number of its process.
        counter: Its heartbeat counter.
        open: True when it accepts callers.
        linked: True when the store answered its last call.
        link_mbps: Width of its link, in Mbit/s; 0 when unknown.
    """

    name: str
    incarnation: int
    counter: int
    open: bool
    linked: bool = True
    link_mbps: int = 0


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag="beat"):
    """One heartbeat message; its tag on the wire is `beat`.

    Args:
        sender: Name of the sender.
        revision: Newest revision up to which the sender holds everything.
        rows: The sender's own row, and those of VMs in touch with it.
    """

    sender: str
    revision: int
    rows: tuple[HeartbeatRow, ...]


class LastHeartbeat(NamedTuple):
    """A VM's newest row.

    Args:
        row: The row.
        at: Monotonic time at which it arrived first, in seconds.
    """

    row: HeartbeatRow
    at: float


class Gossip:
    """Heartbeats of all VMs, as this VM has received them.

    Args:
        name: This VM.
        incarnation: Number of this process.
        rng: Source of randomness.
        link_mbps: Width of this VM's link, in Mbit/s.
    """

    def __init__(
        self, name: str, incarnation: int, rng: random.Random, *, link_mbps: int = 0
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.rng = rng
        self.link_mbps = link_mbps
        self.counter = 0
        self.accepting = False
        self.store_reachable = True
        self.latest: dict[str, LastHeartbeat] = {}
        self.revisions: dict[str, int] = {}
        self._ticked_at: Optional[float] = None

    def set_accepting(self, accepting: bool) -> None:
        """Announce from the next heartbeat on whether this VM accepts callers."""
        self.accepting = accepting

    def set_store_reachable(self, reachable: bool) -> None:
        """Announce from the next heartbeat on whether the store answers this VM."""
        self.store_reachable = reachable

    def tick(self, now: float, revision: int, names: Collection[str]) -> Heartbeat:
        """Raise this VM's counter and return the message to send.

        Args:
            now: Monotonic time, in seconds.
            revision: Newest revision up to which this VM holds everything.
            names: VMs whose rows are sent, this one's own beside them.
        """
        self._shift_by_own_pause(now)
        self.counter += 1
        self.latest = {n: last for n, last in self.latest.items() if now - last.at < _DROP_ROW_S}
        self.revisions = {n: held for n, held in self.revisions.items() if n in self.latest}
        rows = (last.row for name, last in self.latest.items() if name in names)
        fresh = (row for row in rows if self.in_touch(row.name, now))
        return Heartbeat(self.name, revision, (self._own_row(), *fresh))

    def receive(self, beat: Heartbeat, now: float) -> None:
        """Apply a message; older rows than those held are ignored.

        Args:
            beat: The message.
            now: Monotonic time, in seconds.
        """
        self.revisions[beat.sender] = max(beat.revision, self.revisions.get(beat.sender, 0))
        for row in beat.rows:
            if row.name == self.name:
                self._supersede(row)
                continue
            last = self.latest.get(row.name)
            if last is None or _is_newer(row, last.row):
                self.latest[row.name] = LastHeartbeat(row, now)

    def accepts_callers(self, name: str, now: float) -> bool:
        """Return whether callers may be sent to a VM."""
        if name == self.name:
            return self.accepting
        last = self.latest.get(name)
        return last is not None and last.row.open and now - last.at < SILENCE_S

    def can_follow_store(self, name: str, now: float) -> bool:
        """Return whether another VM can follow the store for this one."""
        return self.accepts_callers(name, now) and self.latest[name].row.linked

    def link_mbps_of(self, name: str) -> int:
        """Return the width of a VM's link, in Mbit/s; 0 when it is not known."""
        if name == self.name:
            return self.link_mbps
        last = self.latest.get(name)
        return last.row.link_mbps if last else 0

    def in_touch(self, name: str, now: float) -> bool:
        """Return whether another VM's counter has risen within `SILENCE_S`."""
        last = self.latest.get(name)
        return last is not None and now - last.at < SILENCE_S

    def partners(self, names: Iterable[str], fanout: int = _FANOUT) -> list[str]:
        """Return the VMs that get the next heartbeat, at random.

        Args:
            names: Registered VMs; this one is left out.
            fanout: Number of VMs.
        """
        return self.sample(sorted(name for name in names if name != self.name), fanout)

    def sample(self, vms: Sequence[T], count: int) -> list[T]:
        """Return some of the VMs at random, all when there are fewer.

        Args:
            vms: VMs to choose from.
            count: Number of VMs.
        """
        return self.rng.sample(vms, min(count, len(vms)))

    def peers_ahead(self, revision: int, now: float) -> list[str]:
        """Return the VMs in touch that hold a newer revision.

        Args:
            revision: Newest revision up to which this VM holds everything.
            now: Monotonic time, in seconds.
        """
        newer = (name for name, held in self.revisions.items() if held > revision)
        return [name for name in newer if self.in_touch(name, now)]

    def _own_row(self) -> HeartbeatRow:
        return HeartbeatRow(
            self.name,
            self.incarnation,
            self.counter,
            self.accepting,
            self.store_reachable,
            self.link_mbps,
        )

    def _supersede(self, row: HeartbeatRow) -> None:
        """Start a newer incarnation when other VMs hold a newer row of this VM than its own.

        Incarnations are made from the time of day, which may have been set back before the start.
        """
        if (row.incarnation, row.counter) > (self.incarnation, self.counter):
            self.incarnation = row.incarnation + 1

    def _shift_by_own_pause(self, now: float) -> None:
        """Move the times of all rows by a pause of this process."""
        before, self._ticked_at = self._ticked_at, now
        if before is None or now - before < HEARTBEAT_S + _OWN_PAUSE_S:
            return
        pause = now - before
        self.latest = {n: LastHeartbeat(h.row, h.at + pause) for n, h in self.latest.items()}


def far_fanout(near: int, far: int) -> int:
    """Return how many VMs of other regions get one heartbeat of each VM of a region.

    Args:
        near: VMs of the region, the sender included.
        far: VMs of all other regions.
    """
    return min(_MOST_FAR, math.ceil(far * HEARTBEAT_S / (max(1, near) * _FAR_PAUSE_S)))


def _is_newer(row: HeartbeatRow, held: HeartbeatRow) -> bool:
    return (row.incarnation, row.counter) > (held.incarnation, held.counter)


if __name__ == "__main__":
    from rich.console import Console

    vms = {f"vm{n}": Gossip(f"vm{n}", 1, random.Random(n)) for n in range(12)}
    for step in range(6):
        now = step * HEARTBEAT_S
        for vm in vms.values():
            message = vm.tick(now, 0, vms)
            for partner in vm.partners(vms):
                vms[partner].receive(message, now)
        known = [len(vm.latest) for vm in vms.values()]
        Console().print(f"after {step + 1} rounds, others known: {min(known)} to {max(known)}")
