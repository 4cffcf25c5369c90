"""Membership among entry VMs: heartbeats spread by gossip, no messages of its own kept.

Each machine counts its own heartbeat up and sends the newest counters it knows of all machines to
a few others. A machine whose counter stands still for some seconds is out of touch.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple, Optional

import msgspec

BEAT_S = 0.5
SILENCE_S = 2.5
"""Time without a new heartbeat after which a machine is not named to callers, in seconds."""

_FANOUT = 3
_FORGET_S = 60.0
_GAP_S = 1.0
"""A pause between two ticks beyond this was this process standing still, not the others."""


class Row(msgspec.Struct, array_like=True, frozen=True):
    """What is known of one machine.

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


class Beat(msgspec.Struct, array_like=True, frozen=True, tag="beat"):
    """One heartbeat message.

    Args:
        sender: Name of the sender.
        revision: Newest revision of a fact that the sender knows.
        rows: What it knows of all machines.
    """

    sender: str
    revision: int
    rows: tuple[Row, ...]


class Heard(NamedTuple):
    """A row and when it was last new, as monotonic time in seconds."""

    row: Row
    at: float


class Gossip:
    """This machine's view of who is there.

    Args:
        name: This machine.
        incarnation: This process.
        rng: Source of randomness.
        link_mbps: Width of this machine's link.
    """

    def __init__(
        self, name: str, incarnation: int, rng: random.Random, *, link_mbps: int = 0
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.rng = rng
        self.link_mbps = link_mbps
        self.counter = 0
        self.open = False
        self.linked = True
        self.heard: dict[str, Heard] = {}
        self.revisions: dict[str, int] = {}
        self._ticked_at: Optional[float] = None

    def tick(self, now: float, revision: int) -> Beat:
        """Count the heartbeat up and return the message to send.

        Args:
            now: Monotonic time, in seconds.
            revision: Newest revision of a fact known here.
        """
        self._excuse_own_pause(now)
        self.counter += 1
        own = Row(self.name, self.incarnation, self.counter, self.open, self.linked, self.link_mbps)
        self.heard = {n: h for n, h in self.heard.items() if now - h.at < _FORGET_S}
        fresh = [h.row for h in self.heard.values() if now - h.at < SILENCE_S]
        return Beat(self.name, revision, (own, *fresh))

    def take(self, beat: Beat, now: float) -> None:
        """Learn from a message."""
        self.revisions[beat.sender] = max(beat.revision, self.revisions.get(beat.sender, 0))
        for row in beat.rows:
            if row.name == self.name:
                self._outrun(row)
                continue
            held = self.heard.get(row.name)
            if held is None or _newer(row, held.row):
                self.heard[row.name] = Heard(row, now)

    def takes_callers(self, name: str, now: float) -> bool:
        """Tell whether callers may be sent to a machine."""
        if name == self.name:
            return self.open
        heard = self.heard.get(name)
        return heard is not None and heard.row.open and now - heard.at < SILENCE_S

    def can_watch(self, name: str, now: float) -> bool:
        """Tell whether another machine can follow the store for others."""
        return self.takes_callers(name, now) and self.heard[name].row.linked

    def link_of(self, name: str) -> int:
        """Return the width of a machine's link, in Mbit/s; 0 when it is not known."""
        if name == self.name:
            return self.link_mbps
        heard = self.heard.get(name)
        return heard.row.link_mbps if heard else 0

    def in_touch(self, name: str, now: float) -> bool:
        """Tell whether a machine was heard of lately."""
        heard = self.heard.get(name)
        return heard is not None and now - heard.at < SILENCE_S

    def partners(self, names: Iterable[str], fanout: int = _FANOUT) -> list[str]:
        """Return the machines to send the next message to."""
        others = sorted(name for name in names if name != self.name)
        return self.rng.sample(others, min(fanout, len(others)))

    def ahead(self, revision: int, now: float) -> list[str]:
        """Return machines in touch that know more than what a revision brought."""
        newer = (name for name, known in self.revisions.items() if known > revision)
        return [name for name in newer if self.in_touch(name, now)]

    def _outrun(self, row: Row) -> None:
        """Start a newer incarnation when others hold a newer one of this machine than its own.

        The time of day, from which incarnations are made, may have been set back meanwhile.
        """
        if (row.incarnation, row.counter) > (self.incarnation, self.counter):
            self.incarnation = row.incarnation + 1

    def _excuse_own_pause(self, now: float) -> None:
        before, self._ticked_at = self._ticked_at, now
        if before is None or now - before < BEAT_S + _GAP_S:
            return
        pause = now - before
        self.heard = {name: Heard(h.row, h.at + pause) for name, h in self.heard.items()}


def _newer(row: Row, held: Row) -> bool:
    return (row.incarnation, row.counter) > (held.incarnation, held.counter)


if __name__ == "__main__":
    from rich.console import Console

    machines = {f"vm{n}": Gossip(f"vm{n}", 1, random.Random(n)) for n in range(12)}
    for step in range(6):
        now = step * BEAT_S
        for machine in machines.values():
            message = machine.tick(now, 0)
            for partner in machine.partners(machines):
                machines[partner].take(message, now)
        known = [len(machine.heard) for machine in machines.values()]
        Console().print(f"after {step + 1} rounds, others known: {min(known)} to {max(known)}")
