"""Membership among entry VMs: heartbeats spread by gossip, no messages of its own kept.

Each VM counts its own heartbeat up and sends the newest counters it knows of all VMs to
a few others. A VM whose counter stands still for some seconds is out of touch.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple, Optional

import msgspec

HEARTBEAT_S = 0.5
SILENCE_S = 2.5
"""Time without a new heartbeat after which a VM is not named to callers, in seconds."""

_FANOUT = 3
_FORGET_S = 60.0
_GAP_S = 1.0
"""A pause between two ticks beyond this was this process standing still, not the others."""


class HeartbeatRow(msgspec.Struct, array_like=True, frozen=True):
    """What is known of one VM.

    Args:
        name: Its name.
        incarnation: Its process.
        counter: Its heartbeat.
        open: True when it takes callers.
        linked: True when the store answers it, as far as it has asked.
        link_mbps: Width of its link.
    """

    name: str
    incarnation: int
    counter: int
    open: bool
    linked: bool = True
    link_mbps: int = 0


class Heartbeat(msgspec.Struct, array_like=True, frozen=True, tag="beat"):
    """One heartbeat message.

    Args:
        sender: Name of the sender.
        revision: Newest revision of a fact that the sender knows.
        rows: What it knows of all VMs.
    """

    sender: str
    revision: int
    rows: tuple[HeartbeatRow, ...]


class LastHeartbeat(NamedTuple):
    """A row and when it was last new, as monotonic time in seconds."""

    row: HeartbeatRow
    at: float


class Gossip:
    """This VM's view of who is there.

    Args:
        name: This VM.
        incarnation: This process.
        rng: Source of randomness.
        link_mbps: Width of this VM's link.
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
        self.heard: dict[str, LastHeartbeat] = {}
        self.revisions: dict[str, int] = {}
        self._ticked_at: Optional[float] = None

    def set_accepting(self, accepting: bool) -> None:
        """Say from the next heartbeat on whether this VM accepts callers."""
        self.accepting = accepting

    def set_store_reachable(self, reachable: bool) -> None:
        """Say from the next heartbeat on whether the store answers this VM."""
        self.store_reachable = reachable

    def tick(self, now: float, revision: int) -> Heartbeat:
        """Count the heartbeat up and return the message to send.

        Args:
            now: Monotonic time, in seconds.
            revision: Newest revision of a fact known here.
        """
        self._excuse_own_pause(now)
        self.counter += 1
        own = HeartbeatRow(
            self.name,
            self.incarnation,
            self.counter,
            self.accepting,
            self.store_reachable,
            self.link_mbps,
        )
        self.heard = {n: h for n, h in self.heard.items() if now - h.at < _FORGET_S}
        fresh = [h.row for h in self.heard.values() if now - h.at < SILENCE_S]
        return Heartbeat(self.name, revision, (own, *fresh))

    def take(self, beat: Heartbeat, now: float) -> None:
        """Learn from a message."""
        self.revisions[beat.sender] = max(beat.revision, self.revisions.get(beat.sender, 0))
        for row in beat.rows:
            if row.name == self.name:
                self._outrun(row)
                continue
            held = self.heard.get(row.name)
            if held is None or _newer(row, held.row):
                self.heard[row.name] = LastHeartbeat(row, now)

    def accepts_callers(self, name: str, now: float) -> bool:
        """Tell whether callers may be sent to a VM."""
        if name == self.name:
            return self.accepting
        heard = self.heard.get(name)
        return heard is not None and heard.row.open and now - heard.at < SILENCE_S

    def can_follow_store(self, name: str, now: float) -> bool:
        """Tell whether another VM can follow the store for others."""
        return self.accepts_callers(name, now) and self.heard[name].row.linked

    def link_mbps_of(self, name: str) -> int:
        """Return the width of a VM's link, in Mbit/s; 0 when it is not known."""
        if name == self.name:
            return self.link_mbps
        heard = self.heard.get(name)
        return heard.row.link_mbps if heard else 0

    def in_touch(self, name: str, now: float) -> bool:
        """Tell whether a VM was heard of lately."""
        heard = self.heard.get(name)
        return heard is not None and now - heard.at < SILENCE_S

    def partners(self, names: Iterable[str], fanout: int = _FANOUT) -> list[str]:
        """Return the VMs to send the next message to."""
        others = sorted(name for name in names if name != self.name)
        return self.rng.sample(others, min(fanout, len(others)))

    def ahead(self, revision: int, now: float) -> list[str]:
        """Return VMs in touch that know more than what a revision brought."""
        newer = (name for name, known in self.revisions.items() if known > revision)
        return [name for name in newer if self.in_touch(name, now)]

    def _outrun(self, row: HeartbeatRow) -> None:
        """Start a newer incarnation when others hold a newer one of this VM than its own.

        The time of day, from which incarnations are made, may have been set back meanwhile.
        """
        if (row.incarnation, row.counter) > (self.incarnation, self.counter):
            self.incarnation = row.incarnation + 1

    def _excuse_own_pause(self, now: float) -> None:
        before, self._ticked_at = self._ticked_at, now
        if before is None or now - before < HEARTBEAT_S + _GAP_S:
            return
        pause = now - before
        self.heard = {name: LastHeartbeat(h.row, h.at + pause) for name, h in self.heard.items()}


def _newer(row: HeartbeatRow, held: HeartbeatRow) -> bool:
    return (row.incarnation, row.counter) > (held.incarnation, held.counter)


if __name__ == "__main__":
    from rich.console import Console

    vms = {f"vm{n}": Gossip(f"vm{n}", 1, random.Random(n)) for n in range(12)}
    for step in range(6):
        now = step * HEARTBEAT_S
        for vm in vms.values():
            message = vm.tick(now, 0)
            for partner in vm.partners(vms):
                vms[partner].take(message, now)
        known = [len(vm.heard) for vm in vms.values()]
        Console().print(f"after {step + 1} rounds, others known: {min(known)} to {max(known)}")
