"""Decides which entry VMs are in touch, by heartbeats that spread by gossip.

For each VM, `Gossip` answers whether it runs and reaches others, whether it accepts callers, and
whether it reaches the store and backend servers. It relies on the heartbeats of other VMs and on
the time (monotonic, in seconds). Each VM increments its own counter every `HEARTBEAT_INTERVAL_S`
and sends the newest counters of its region's VMs in touch to `_REGION_FANOUT` others of the region,
and to `cross_region_fanout` VMs of other regions.

A VM whose counter has not increased here for `HEARTBEAT_TIMEOUT_S` is out of touch: callers are not
sent to it and it is not elected. After `_ROW_RETENTION_S` its row is dropped. When this process
itself was paused, the times of all rows are moved by the pause, as heartbeats may have arrived
unread.

Gossip needs no call to the store, and no VM's load depends on one other VM. The rows of a region's
VMs reach other regions only in messages from that region and are not forwarded there: callers get
the addresses of VMs in their own region, and the traffic of rows that every VM forwards to all
others grows with the square of the fleet. At 195 VMs in three regions this reduces the traffic
between regions from 1.6 to 0.57 MB/s (10 s of `test_gateway_gossip.Bytes`). The number of rows in a
message is not limited: with a limit of 30 a quarter of 90 VMs was out of touch (docs/CAPACITY.md).

The result is shown by `members` of `/state` and the metric `members_open`. It is tested by
`test_gateway_gossip`.
"""

import math
import random
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple, Optional, TypeVar

import msgspec

HEARTBEAT_INTERVAL_S = 0.5
"""Interval between two heartbeats of a VM, in seconds. With it, each of 89 VMs sends 19 KB/s
(docs/CAPACITY.md)."""

HEARTBEAT_TIMEOUT_S = 2.5
"""Time without a newer heartbeat after which a VM is out of touch, in seconds: five intervals. With
it, no running VM is dropped at 12 and 90 VMs without packet loss (`test_gateway_gossip`)."""

_REGION_FANOUT = 3
"""VMs of its own region to which a VM sends each heartbeat. With it, 90 VMs know each other within
4 s (`test_gateway_gossip`)."""

_CROSS_REGION_INTERVAL_S = 0.5
"""Mean time between two messages that a VM receives from each other region, in seconds. With random
senders none arrives within `HEARTBEAT_TIMEOUT_S` in 7 of 1,000 cases; then look-ups for that region
return this region's VMs until the next message."""

_MAX_CROSS_REGION_FANOUT = 4
"""Greatest number of VMs of other regions that get one heartbeat, so that a region with few VMs
beside a large one does not fill its links with heartbeats."""

_ROW_RETENTION_S = 60.0
"""Time without a newer heartbeat after which a VM's row is dropped, in seconds. Its link bandwidth
is known until then."""

_MAX_TICK_DELAY_S = 1.0
"""Delay of this VM's own heartbeat beyond which this process counts as paused, in seconds."""

T = TypeVar("T")


class HeartbeatRow(msgspec.Struct, array_like=True, frozen=True):
    """The newest heartbeat of one VM.

    Args:
        name: Name of the VM.
        incarnation: Incarnation of its process.
        counter: Its heartbeat counter.
        open: True when it accepts callers.
        linked: True when the store answered its last call.
        link_mbps: Bandwidth of its link, in Mbit/s; 0 when unknown.
        requests_per_s: Its capacity, see `vm_capacity`; 0 when unknown.
        reaches_servers: False while it has lost its links to backend servers.
    """

    name: str
    incarnation: int
    counter: int
    open: bool
    linked: bool = True
    link_mbps: int = 0
    requests_per_s: int = 0
    reaches_servers: bool = True


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag="beat"):
    """One heartbeat message; its tag on the wire is `beat`.

    Args:
        sender: Name of the sender.
        revision: Newest revision up to which the sender holds all changes.
        rows: The sender's own row, and those of VMs in touch with it.
    """

    sender: str
    revision: int
    rows: tuple[HeartbeatRow, ...]


class LastHeartbeat(NamedTuple):
    """A VM's newest row.

    Args:
        row: The row.
        at: Monotonic time at which it first arrived, in seconds.
    """

    row: HeartbeatRow
    at: float


class Gossip:
    """The newest heartbeats of all VMs that this VM has received.

    Args:
        name: Name of this VM.
        incarnation: Incarnation of this process.
        rng: Source of randomness.
        link_mbps: Bandwidth of this VM's link, in Mbit/s.
        requests_per_s: Capacity of this VM, see `vm_capacity`.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        rng: random.Random,
        *,
        link_mbps: int = 0,
        requests_per_s: int = 0,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.rng = rng
        self.link_mbps = link_mbps
        self.requests_per_s = requests_per_s
        self.counter = 0
        self.accepting = False
        self.store_reachable = True
        self.servers_reachable = True
        self.latest: dict[str, LastHeartbeat] = {}
        self.revisions: dict[str, int] = {}
        self._ticked_at: Optional[float] = None

    def set_accepting(self, accepting: bool) -> None:
        """Set whether the next heartbeats announce that this VM accepts callers."""
        self.accepting = accepting

    def set_store_reachable(self, reachable: bool) -> None:
        """Set whether the next heartbeats announce that the store answers this VM."""
        self.store_reachable = reachable

    def set_servers_reachable(self, reachable: bool) -> None:
        """Set whether the next heartbeats announce that this VM reaches backend servers."""
        self.servers_reachable = reachable

    def tick(self, now: float, revision: int, names: Collection[str]) -> Heartbeat:
        """Increment this VM's counter and return the message to send.

        Args:
            now: Monotonic time, in seconds.
            revision: Newest revision up to which this VM holds all changes.
            names: VMs whose rows are sent besides this VM's own.
        """
        self._shift_by_process_pause(now)
        self.counter += 1
        self.latest = {
            n: last for n, last in self.latest.items() if now - last.at < _ROW_RETENTION_S
        }
        self.revisions = {n: held for n, held in self.revisions.items() if n in self.latest}
        rows = (last.row for name, last in self.latest.items() if name in names)
        rows_in_touch = (row for row in rows if self.in_touch(row.name, now))
        return Heartbeat(self.name, revision, (self._own_row(), *rows_in_touch))

    def receive(self, heartbeat: Heartbeat, now: float) -> None:
        """Apply a message, except rows that are older than those held.

        Args:
            heartbeat: The message.
            now: Monotonic time, in seconds.
        """
        self.revisions[heartbeat.sender] = max(
            heartbeat.revision, self.revisions.get(heartbeat.sender, 0)
        )
        for row in heartbeat.rows:
            if row.name == self.name:
                self._raise_incarnation(row)
                continue
            last = self.latest.get(row.name)
            if last is None or _is_newer(row, last.row):
                self.latest[row.name] = LastHeartbeat(row, now)

    def accepts_callers(self, name: str, now: float) -> bool:
        """Return whether callers may be sent to a VM."""
        if name == self.name:
            return self.accepting
        last = self.latest.get(name)
        return last is not None and last.row.open and now - last.at < HEARTBEAT_TIMEOUT_S

    def can_follow_store(self, name: str, now: float) -> bool:
        """Return whether another VM accepts callers and is answered by the store."""
        return self.accepts_callers(name, now) and self.latest[name].row.linked

    def reaches_servers(self, name: str, now: float) -> bool:
        """Return whether a VM accepts callers and has links to backend servers."""
        if name == self.name:
            return self.accepting and self.servers_reachable
        return self.accepts_callers(name, now) and self.latest[name].row.reaches_servers

    def lost_servers(self, name: str, now: float) -> bool:
        """Return whether a VM in touch has lost its links to backend servers."""
        if name == self.name:
            return not self.servers_reachable
        return self.in_touch(name, now) and not self.latest[name].row.reaches_servers

    def link_mbps_of(self, name: str) -> int:
        """Return the bandwidth of a VM's link in Mbit/s, or 0 if it is unknown."""
        if name == self.name:
            return self.link_mbps
        last = self.latest.get(name)
        return last.row.link_mbps if last else 0

    def requests_per_s_of(self, name: str) -> int:
        """Return the capacity of a VM in requests a second, or 0 if it is unknown."""
        if name == self.name:
            return self.requests_per_s
        last = self.latest.get(name)
        return last.row.requests_per_s if last else 0

    def in_touch(self, name: str, now: float) -> bool:
        """Return whether another VM's counter has increased within `HEARTBEAT_TIMEOUT_S`."""
        last = self.latest.get(name)
        return last is not None and now - last.at < HEARTBEAT_TIMEOUT_S

    def partners(self, names: Iterable[str], fanout: int = _REGION_FANOUT) -> list[str]:
        """Return randomly chosen VMs that get the next heartbeat.

        Args:
            names: Registered VMs; this VM is excluded.
            fanout: Number of VMs to choose.
        """
        return self.sample(sorted(name for name in names if name != self.name), fanout)

    def sample(self, vms: Sequence[T], count: int) -> list[T]:
        """Return a random sample of the VMs, or all of them if there are fewer.

        Args:
            vms: VMs to choose from.
            count: Number of VMs to choose.
        """
        return self.rng.sample(vms, min(count, len(vms)))

    def peers_ahead(self, revision: int, now: float) -> list[str]:
        """Return the VMs in touch that hold a newer revision.

        Args:
            revision: Newest revision up to which this VM holds all changes.
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
            self.requests_per_s,
            self.servers_reachable,
        )

    def _raise_incarnation(self, row: HeartbeatRow) -> None:
        """Raise this VM's incarnation if another VM holds a newer row of this VM than its own.

        Incarnations derive from the wall clock, which may have been set back before the start.
        """
        if (row.incarnation, row.counter) > (self.incarnation, self.counter):
            self.incarnation = row.incarnation + 1

    def _shift_by_process_pause(self, now: float) -> None:
        """Move the times of all rows by the length of a pause of this process."""
        before, self._ticked_at = self._ticked_at, now
        if before is None or now - before < HEARTBEAT_INTERVAL_S + _MAX_TICK_DELAY_S:
            return
        pause = now - before
        self.latest = {n: LastHeartbeat(h.row, h.at + pause) for n, h in self.latest.items()}


def cross_region_fanout(own_region_vms: int, other_region_vms: int) -> int:
    """Return the number of VMs of other regions that get one heartbeat of each VM of a region.

    Args:
        own_region_vms: Number of VMs of the region, including the sender.
        other_region_vms: Number of VMs of all other regions.
    """
    return min(
        _MAX_CROSS_REGION_FANOUT,
        math.ceil(
            other_region_vms
            * HEARTBEAT_INTERVAL_S
            / (max(1, own_region_vms) * _CROSS_REGION_INTERVAL_S)
        ),
    )


def _is_newer(row: HeartbeatRow, held: HeartbeatRow) -> bool:
    return (row.incarnation, row.counter) > (held.incarnation, held.counter)


if __name__ == "__main__":
    from rich.console import Console

    vms = {f"vm{n}": Gossip(f"vm{n}", 1, random.Random(n)) for n in range(12)}
    for step in range(6):
        now = step * HEARTBEAT_INTERVAL_S
        for vm in vms.values():
            message = vm.tick(now, 0, vms)
            for partner in vm.partners(vms):
                vms[partner].receive(message, now)
        known = [len(vm.latest) for vm in vms.values()]
        Console().print(f"after {step + 1} rounds, others known: {min(known)} to {max(known)}")
