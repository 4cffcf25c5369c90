"""One day of the soak: planned from its seed, run with real processes, judged at its end.

Owns the plan of a day and its course: start, faults that overlap, a last change, quiet, judgement.
The same seed gives the same plan; the course differs, since processes run on the real clock.
Relies on `world` for the processes, `troubles` for the faults, `promises` for the judgement.
"""

import asyncio
import random
from collections import Counter
from typing import Any, NamedTuple

from sprucewinch.errors import SprucewinchError

from .callers import Caller
from .ledger import Broken
from .promises.evidence import Evidence, gather_runs
from .promises.judge import judge
from .shown_keys import judge_shown_keys
from .troubles.kinds import kinds_of
from .troubles.operators import Change
from .troubles.trouble import Trouble
from .world import World

TROUBLED_S = 9.0
"""Seconds in which troubles begin, by default. A guess, never measured."""

_FIRST_S = 0.5
"""Seconds of traffic before the first trouble. A guess, never measured."""

_SETTLE_S = 5.5
"""Seconds from the last begin of a trouble to the last change; longer while a process starts.

A guess, never measured.
"""

_QUIET_FROM_S = 1.5
"""Seconds after the last change from which everything has to work. A guess, never measured."""

_QUIET_S = 3.5
"""Seconds from the last change to the end of the day. A guess, never measured."""

_CALLERS = 12
"""Callers of a day. A guess, never measured."""

_CLINGING = 6
"""Callers that keep one entry VM: half of them."""

_LEAST_TROUBLES, _MOST_TROUBLES = 5, 9
"""Troubles of a day, drawn evenly, enough to overlap in `TROUBLED_S`. A guess, never measured."""

_SHORTEST_TROUBLE_S, _LONGEST_TROUBLE_S = 0.4, 3.0
"""Duration of a trouble, drawn evenly, in seconds. A guess, never measured."""

_SEEDS = 1 << 30
"""Seeds of the troubles' own choices are drawn below it."""

_TRAFFIC_SALT = 0x5EED
"""Parts the callers' random numbers from the plan's; any figure does."""


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
    """Result of a day.

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
    kinds = kinds_of(seed)
    count = rng.randint(_LEAST_TROUBLES, _MOST_TROUBLES)
    rows = [
        Planned(
            round(rng.uniform(_FIRST_S, troubled_s), 2),
            rng.choice(kinds),
            round(rng.uniform(_SHORTEST_TROUBLE_S, _LONGEST_TROUBLE_S), 2),
            rng.randrange(_SEEDS),
        )
        for _ in range(count)
    ]
    last = Planned(troubled_s + _SETTLE_S, Change, 0.0, rng.randrange(_SEEDS))
    return (*sorted(rows, key=lambda row: row.at), last)


async def run_day(seed: int, *, troubled_s: float = TROUBLED_S) -> Outcome:
    """Run one day.

    Args:
        seed: Its seed.
        troubled_s: How long troubles strike, in seconds.
    """
    world = World()
    planned = plan(seed, troubled_s)
    try:
        await world.start()
        if not await world.keeper.until_all_ready():
            raise SoakError("the entry VMs do not start", "look at a log in the folder out/soak")
        await _traffic(world, planned, seed)
        await judge_shown_keys(world)
        runs = gather_runs(world.backends.ever())
        stand_ins = tuple(server.stand_in for server in world.backends.ever())
        evidence = Evidence(world.ledger, runs, world.loop.time(), stand_ins)
        broken = tuple(judge(evidence))
    finally:
        await world.stop()
    attempts = world.ledger.attempts
    statuses = Counter(str(a.status or (a.end.value if a.end else "unfinished")) for a in attempts)
    lines = {name: vm.lines for name, vm in world.vms.items()}
    return Outcome(seed, planned, len(attempts), dict(statuses), broken, lines)


async def _traffic(world: World, planned: tuple[Planned, ...], seed: int) -> None:
    rng = random.Random(seed ^ _TRAFFIC_SALT)
    callers = [
        Caller(world, n, random.Random(rng.random()), clings=n < _CLINGING) for n in range(_CALLERS)
    ]
    start = world.loop.time()
    work = [asyncio.create_task(caller.run()) for caller in callers]
    troubles = [asyncio.create_task(_strike(world, row, start)) for row in planned[:-1]]
    await asyncio.sleep(planned[-1].at)
    if not await world.keeper.until_all_ready():
        world.ledger.breaks("RECOVER", f"ready are only {sorted(world.keeper.ready)}")
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
