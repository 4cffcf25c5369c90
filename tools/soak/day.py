"""One day of the soak: what its seed says, run with real processes, judged at its end."""

import asyncio
import random
from collections import Counter
from typing import Any, NamedTuple

from sprucewinch.errors import SprucewinchError

from .callers import Caller
from .ledger import Broken
from .promises import Promises
from .troubles import KINDS, Change, Trouble
from .world import World

TROUBLED_S = 9.0
"""How long troubles strike, in seconds, unless told otherwise."""

_FIRST_S = 0.5
_SETTLE_S = 5.5
"""Time after the last trouble until the last change, in seconds, and longer while a process still
stops or starts."""

_QUIET_FROM_S = 1.5
_QUIET_S = 3.5
"""When, after the last change, everything has to work again, and when the day ends, in seconds."""

_CALLERS = 12
_CLINGING = 6
_LEAST_TROUBLES, _MOST_TROUBLES = 5, 9


class SoakError(SprucewinchError):
    """The soak was asked for something that it cannot do."""

    exit_code = 2


class Planned(NamedTuple):
    """One trouble of a day.

    Args:
        at: When it strikes, in seconds from the start of traffic.
        kind: What it is.
        for_s: How long it lasts, in seconds.
        seed: Seed of its own choices.
    """

    at: float
    kind: type[Trouble]
    for_s: float
    seed: int


class Outcome(NamedTuple):
    """How a day went.

    Args:
        seed: Its seed.
        plan: What struck.
        attempts: Attempts of callers.
        statuses: How often each status, or end without one, came.
        broken: Promises that were broken.
        lines: What each entry VM wrote, its lives one after the other.
    """

    seed: int
    plan: tuple[Planned, ...]
    attempts: int
    statuses: dict[str, int]
    broken: tuple[Broken, ...]
    lines: dict[str, list[dict[str, Any]]]


def plan(seed: int, troubled_s: float = TROUBLED_S) -> tuple[Planned, ...]:
    """Return the troubles of a day; a change of the configuration closes it.

    Args:
        seed: Seed of the day.
        troubled_s: How long troubles strike, in seconds.
    """
    rng = random.Random(seed)
    count = rng.randint(_LEAST_TROUBLES, _MOST_TROUBLES)
    rows = [
        Planned(
            round(rng.uniform(_FIRST_S, troubled_s), 2),
            rng.choice(KINDS),
            round(rng.uniform(0.4, 3.0), 2),
            rng.randrange(1 << 30),
        )
        for _ in range(count)
    ]
    last = Planned(troubled_s + _SETTLE_S, Change, 0.0, rng.randrange(1 << 30))
    return (*sorted(rows, key=lambda row: row.at), last)


async def run_day(seed: int, *, group: int = 1, troubled_s: float = TROUBLED_S) -> Outcome:
    """Run one day.

    Args:
        seed: Its seed.
        group: Number of its own loopback addresses, 1 to 200; days that run at once need others.
        troubled_s: How long troubles strike, in seconds.
    """
    world = World(group)
    planned = plan(seed, troubled_s)
    try:
        await world.start()
        if not await world.until_all_ready():
            raise SoakError("the entry VMs do not start", "look at a log in the folder out/soak")
        promises = Promises(world)
        await _traffic(world, promises, planned, seed)
        broken = tuple(promises.judge())
    finally:
        await world.stop()
    attempts = world.ledger.attempts
    statuses = Counter(str(a.status or (a.end.value if a.end else "unfinished")) for a in attempts)
    lines = {name: vm.lines for name, vm in world.vms.items()}
    return Outcome(seed, planned, len(attempts), dict(statuses), broken, lines)


async def _traffic(
    world: World, promises: Promises, planned: tuple[Planned, ...], seed: int
) -> None:
    rng = random.Random(seed ^ 0x5EED)
    callers = [
        Caller(world, promises, n, random.Random(rng.random()), clings=n < _CLINGING)
        for n in range(_CALLERS)
    ]
    start = world.loop.time()
    work = [asyncio.create_task(caller.run()) for caller in callers]
    troubles = [asyncio.create_task(_strike(world, row, start)) for row in planned[:-1]]
    await asyncio.sleep(planned[-1].at)
    if not await world.until_all_ready():
        world.ledger.breaks("RECOVER", f"ready are only {sorted(world.ready)}")
    world.ledger.quiet_from = world.loop.time() + _QUIET_FROM_S
    troubles.append(asyncio.create_task(_strike(world, planned[-1], start)))
    await asyncio.sleep(_QUIET_S)
    for task in (*work, *troubles):
        task.cancel()
    for result in await asyncio.gather(*work, *troubles, return_exceptions=True):
        if isinstance(result, Exception):
            raise result


async def _strike(world: World, row: Planned, start: float) -> None:
    await asyncio.sleep(max(0.0, start + row.at - world.loop.time()))
    await row.kind(world, random.Random(row.seed), row.for_s).strike()
