"""Counts what each kind of requests asks of a service, and what became of it.

A kind is what requests are ranked by: the priority of the workspace, that of the route, whether the
workspace is above its fair share, and whether the caller was refused before. What a kind asks for
is the work that arrives a second, in seconds of work: the number of slots that it would keep busy.
A request that is repeated without waiting is counted too, as its own kind, after all others of the
same rank. All counts decay, and are those of this VM alone.

Inputs are kinds, work in seconds and monotonic times in seconds; the module owns the counts, which
show in `kinds` of `/state`. Tests: tests/test_gateway_sent_part.py.
"""

import math
from typing import NamedTuple

_DECAY_S = 1.0
"""Time after which a request counts 1/e, in seconds: some rounds of work, and about the time after
which a refused caller is back."""

_INITIAL_CREDIT = 0.5
"""Credit of a new kind, so that not all VMs with few requests refuse the first."""

MAX_KINDS = 64
"""Kinds of a service that are counted apart; beyond that, those that ask for least are dropped."""


MAX_STEPS = 4
"""Steps above the fair share that are told apart, which bounds the number of kinds. A workspace
that sends little is often one or two steps above, as each of its requests is much for it."""


class Kind(NamedTuple):
    """What requests are ranked by; the lowest is the most urgent.

    Args:
        workspace_rank: Priority of the workspace; 0 without one.
        priority: Priority of the route.
        steps_over_share: Steps by which the workspace is above its fair share, at most
            `MAX_STEPS`; 0 for not at all.
        history: Value of `CallerHistory`.
    """

    workspace_rank: int
    priority: int
    steps_over_share: int
    history: int


class Wanted(NamedTuple):
    """What is asked of a service, in slots that it would keep busy.

    Args:
        ahead: What more urgent kinds ask for.
        own: What the kind itself asks for.
        total: What all kinds ask for.
    """

    ahead: float
    own: float
    total: float


class DecayedSum:
    """A sum whose parts count less as they age."""

    __slots__ = ("_at", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at a monotonic time, in seconds."""
        self._value = self._decayed(now) + amount
        self._at = now

    def per_s(self, now: float) -> float:
        """Return the rate at which the sum grows, in amounts a second."""
        return self._decayed(now) / _DECAY_S

    def _decayed(self, now: float) -> float:
        if not self._value:
            return 0.0
        return self._value * math.exp(-max(0.0, now - self._at) / _DECAY_S)


class KindCounts:
    """What one kind asked for lately, and what became of it.

    Attributes:
        asked: Requests.
        work_s: Work of these requests, in seconds.
        sent: Requests that were sent.
        refused: Requests that were refused.
        credit: Part of a request that is due to be sent, see `take_turn`.
    """

    __slots__ = ("asked", "credit", "refused", "sent", "work_s")

    def __init__(self) -> None:
        self.asked = DecayedSum()
        self.work_s = DecayedSum()
        self.sent = DecayedSum()
        self.refused = DecayedSum()
        self.credit = _INITIAL_CREDIT

    def take_turn(self, sent_part: float) -> bool:
        """Return whether the next request is sent, so that a part of them is, evenly spread.

        Args:
            sent_part: Part of the requests of this kind that is to be sent, from 0 to 1.
        """
        self.credit += sent_part
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True


class ServiceDemand:
    """What all kinds ask of one service, at this VM."""

    __slots__ = ("by_kind",)

    def __init__(self) -> None:
        self.by_kind: dict[Kind, KindCounts] = {}

    def record_asked(self, kind: Kind, work_s: float, now: float) -> KindCounts:
        """Count a request and its work in seconds, and return the counts of its kind."""
        if kind not in self.by_kind and len(self.by_kind) >= MAX_KINDS:
            self._drop_least(now)
        counts = self.counts(kind)
        counts.asked.add(1.0, now)
        counts.work_s.add(work_s, now)
        return counts

    def counts(self, kind: Kind) -> KindCounts:
        """Return the counts of a kind."""
        counts = self.by_kind.get(kind)
        if counts is None:
            counts = self.by_kind[kind] = KindCounts()
        return counts

    def wanted(self, kind: Kind, now: float) -> Wanted:
        """Return what a kind, more urgent ones and all kinds ask for, in slots."""
        ahead = own = total = 0.0
        for other, counts in self.by_kind.items():
            slots = counts.work_s.per_s(now)
            total += slots
            if other == kind:
                own = slots
            elif other < kind:
                ahead += slots
        return Wanted(ahead, own, total)

    def _drop_least(self, now: float) -> None:
        least = min(self.by_kind, key=lambda kind: self.by_kind[kind].work_s.per_s(now))
        del self.by_kind[least]
