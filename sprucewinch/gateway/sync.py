"""Keeps beliefs in step with the store, and with neighbours where the store is out of reach."""

import asyncio
import random
from collections.abc import Callable
from typing import Optional

import msgspec

from ..retry import backoff_s
from .beliefs import Beliefs
from .connection import get
from .gossip import Gossip
from .journal import Journal
from .model import Member
from .outages import StoreOutages
from .registry import MEMBER_PREFIX, member_item
from .replica import Delta, Item, Removal
from .store import HistoryGoneError, Store, StoreUnavailableError

WATCH_S = 2.0
"""How long a watch waits in a small fleet, in seconds; one that died silently is noticed then.

In a larger fleet watches wait longer: somebody's is renewed soon in any case, and neighbours that
know more are asked.
"""

_SMALL_FLEET = 12
_MOST_WATCH_S = 8.0

GATHER_S = 0.15
"""Pause after a change, in seconds, so that the next watch brings what follows in one call."""

DELTA_PATH = "/v1/delta"
_ASK_S = 0.3
"""How often it is looked whether a neighbour knows more, in seconds."""

_ASK_TIMEOUT_S = 0.6
_OK = 200
_REGISTER_S = 2.0
_FORGET_MEMBER_S = 30.0
_MOST_BACKOFF_S = 1.0


class StoreFollower:
    """Lists the store once, then follows its changes.

    Args:
        beliefs: What this machine believes.
        store: The store.
        outages: Told when the store is out of reach and when it is back.
        journal: Told of lost and regained touch.
        monotonic: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        beliefs: Beliefs,
        store: Store,
        outages: StoreOutages,
        journal: Journal,
        *,
        monotonic: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.beliefs = beliefs
        self.store = store
        self.outages = outages
        self.journal = journal
        self.monotonic = monotonic
        self.rng = rng
        self.up = False
        self._list_first = True

    async def run(self) -> None:
        """Follow until cancelled."""
        failures = 0
        while True:
            try:
                await self._step()
                failures = 0
                self._is_up(True, "")
            except HistoryGoneError:
                self._list_first = True
                self.journal.state("store-history-gone", after=self.beliefs.replica.at)
            except StoreUnavailableError as error:
                failures += 1
                self.outages.lost(self.monotonic())
                self._is_up(False, str(error))
                wait = backoff_s(failures, self.rng, base_s=0.1, most_s=_MOST_BACKOFF_S)
                await asyncio.sleep(0.05 + wait)

    async def _step(self) -> None:
        if self._list_first:
            delta = await self.store.listing()
            self._list_first = False
        else:
            wait_s = watch_s(len(self.beliefs.members))
            delta = await self.store.watch(self.beliefs.replica.at, wait_s)
        self.outages.regained(self.monotonic())
        self.beliefs.apply(delta, self.monotonic())
        if delta.items or delta.removals:
            await asyncio.sleep(GATHER_S)

    def _is_up(self, up: bool, problem: str) -> None:
        if up != self.up:
            self.up = up
            self.journal.state("store", up=up, problem=problem, at=self.beliefs.replica.at)


def watch_s(machines: int) -> float:
    """Return how long a watch waits, in seconds.

    Args:
        machines: How many machines are registered.
    """
    return min(_MOST_WATCH_S, WATCH_S * max(1.0, machines / _SMALL_FLEET))


class NeighbourFollower:
    """Takes over from neighbours what the store has not told yet.

    Args:
        beliefs: What this machine believes.
        gossip: Who is there and knows how much.
        monotonic: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        beliefs: Beliefs,
        gossip: Gossip,
        *,
        monotonic: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.beliefs = beliefs
        self.gossip = gossip
        self.monotonic = monotonic
        self.rng = rng
        self.taken = 0
        self._behind_since: Optional[float] = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await asyncio.sleep(_ASK_S)
            await self.step()

    async def step(self) -> None:
        """Ask one neighbour that knows more than the store has told for a while."""
        now = self.monotonic()
        ahead = self.gossip.ahead(self.beliefs.revision, now)
        known = [name for name in ahead if name in self.beliefs.members]
        if not known:
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
            return
        member = self.beliefs.members[self.rng.choice(known)]
        delta = await fetch_delta(member.peer_address, self.beliefs.replica.at)
        if delta is not None:
            self.taken += 1
            self.beliefs.apply(delta, self.monotonic())


class Registrar:
    """Keeps this machine registered and removes machines that are long gone.

    Args:
        own: This machine.
        beliefs: What this machine believes.
        gossip: Who is there.
        store: The store.
        monotonic: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        own: Member,
        beliefs: Beliefs,
        gossip: Gossip,
        store: Store,
        *,
        monotonic: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.own = own
        self.beliefs = beliefs
        self.gossip = gossip
        self.store = store
        self.monotonic = monotonic
        self.rng = rng
        self._missing_since: dict[str, float] = {}

    async def run(self) -> None:
        """Write until registered, and look again now and then."""
        failures = 0
        while True:
            try:
                await self._step()
                failures = 0
                await asyncio.sleep(_REGISTER_S)
            except StoreUnavailableError:
                failures += 1
                wait = backoff_s(failures, self.rng, base_s=0.2, most_s=_MOST_BACKOFF_S)
                await asyncio.sleep(0.1 + wait)

    async def leave(self) -> None:
        """Remove this machine's registration."""
        item = self.beliefs.replica.items.get(MEMBER_PREFIX + self.own.name)
        if item is not None:
            await self.store.remove(item)

    async def _step(self) -> None:
        if self.beliefs.members.get(self.own.name) != self.own:
            await self.store.write(*member_item(self.own))
            return
        gone = self._longest_gone(self.monotonic())
        if gone is not None:
            await self.store.remove(gone)

    def _longest_gone(self, now: float) -> Optional[Item]:
        """Return the registration of a machine not heard of for long, if it falls to this one."""
        silent = {
            name
            for name in self.beliefs.members
            if name != self.own.name and not self.gossip.in_touch(name, now)
        }
        self._missing_since = {n: self._missing_since.get(n, now) for n in silent}
        alive = [name for name in self.beliefs.members if name not in silent]
        long_gone = [n for n, at in self._missing_since.items() if now - at > _FORGET_MEMBER_S]
        if not long_gone or self.own.name != min(alive, default=self.own.name):
            return None
        return self.beliefs.replica.items.get(MEMBER_PREFIX + long_gone[0])


async def fetch_delta(address: str, after: int) -> Optional[Delta]:
    """Ask a neighbour what has changed after a revision; None when it does not answer.

    Args:
        address: `IP:PORT` of its peer listener.
        after: Revision.
    """
    answer = await get(address, f"{DELTA_PATH}?after={after}", _ASK_TIMEOUT_S)
    if answer is None or answer.status != _OK:
        return None
    try:
        return decode_delta(answer.body)
    except msgspec.MsgspecError:
        return None


def encode_delta(delta: Delta) -> bytes:
    """Return a delta as bytes for a neighbour."""
    return msgspec.msgpack.encode(delta)


def decode_delta(data: bytes) -> Delta:
    """Return the delta that a neighbour sent.

    Raises:
        msgspec.MsgspecError: When it is none.
    """
    items, removals, at, whole = msgspec.msgpack.decode(
        data, type=tuple[tuple[Item, ...], tuple[Removal, ...], int, bool]
    )
    return Delta(items, removals, at, whole)
