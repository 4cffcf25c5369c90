"""One day of the soak: planned from its seed, run with real processes, judged at its end.

Owns the plan of a day and its phases: start, overlapping troubles, a last configuration change, a
quiet phase, judgement. The same seed gives the same plan, but not the same course of events, since
processes run on the real clock.
Relies on `world` for the processes, `troubles` for the faults, `promises` for the judgement.
"""

import asyncio
import random
from collections import Counter
from typing import Any, NamedTuple, Optional

from sprucewinch.errors import SprucewinchError

from .callers import Caller
from .ledger import Broken
from .promises.evidence import Evidence, gather_runs
from .promises.judge import judge
from .shown_keys import judge_shown_keys
from .troubles.kinds import kinds_of
from .troubles.operators import Change
from .troubles.trouble import Trouble
from .world import FleetSize, World

TROUBLED_S = 9.0
"""Time in which troubles begin, in seconds, by default."""

_FIRST_TROUBLE_S = 0.5
"""Seconds of traffic before the first trouble."""

_SETTLE_S = 5.5
"""Seconds from the end of `TROUBLED_S` to the last change; longer while a process starts."""

_QUIET_FROM_S = 1.5
"""Seconds after the last change until everything has to work."""

_QUIET_S = 3.5
"""Seconds from the last change to the end of the day."""

_CALLERS = 12
"""Number of callers in a day."""

_STICKY_CALLERS = 6
"""Callers that keep to one entry VM: half of them."""

_MIN_TROUBLES, _MAX_TROUBLES = 5, 9
"""Number of troubles in a day, drawn uniformly; enough to overlap in `TROUBLED_S`."""

_MIN_TROUBLE_S, _MAX_TROUBLE_S = 0.4, 3.0
"""Duration of a trouble in seconds, drawn uniformly."""

_SEED_LIMIT = 1 << 30
"""Exclusive upper bound of the seeds that are drawn for the troubles' own choices."""

_TRAFFIC_SALT = 0x5EED
"""Makes the callers' random numbers independent of the plan's; any other value would do."""


class SoakError(SprucewinchError):
    """A day cannot be run, or its seeds cannot be read."""

    exit_code = 2


class Planned(NamedTuple):
    """One trouble of a day.

    Args:
        at: Begin of the trouble, in seconds from the start of traffic.
        kind: Class of the trouble.
        for_s: Duration of the trouble, in seconds.
        seed: Seed of the trouble's own choices.
    """

    at: float
    kind: type[Trouble]
    for_s: float
    seed: int


class Outcome(NamedTuple):
    """Result of a day.

    Args:
        seed: Seed of the day.
        plan: Troubles of the day.
        attempts: Number of requests that callers sent.
        statuses: Number of requests by HTTP status, or by how they ended without one.
        broken: Promises that were broken.
        lines: Log lines of each entry VM, its processes one after the other.
    """

    seed: int
    plan: tuple[Planned, ...]
    attempts: int
    statuses: dict[str, int]
    broken: tuple[Broken, ...]
    lines: dict[str, list[dict[str, Any]]]


def plan(seed: int, troubled_s: float = TROUBLED_S) -> tuple[Planned, ...]:
    """Return the troubles of a day; the last one is a change of the configuration.

    Args:
        seed: Seed of the day.
        troubled_s: Time in which troubles begin, in seconds.
    """
    rng = random.Random(seed)
    kinds = kinds_of(seed)
    count = rng.randint(_MIN_TROUBLES, _MAX_TROUBLES)
    rows = [
        Planned(
            round(rng.uniform(_FIRST_TROUBLE_S, troubled_s), 2),
            rng.choice(kinds),
            round(rng.uniform(_MIN_TROUBLE_S, _MAX_TROUBLE_S), 2),
            rng.randrange(_SEED_LIMIT),
        )
        for _ in range(count)
    ]
    last = Planned(troubled_s + _SETTLE_S, Change, 0.0, rng.randrange(_SEED_LIMIT))
    return (*sorted(rows, key=lambda row: row.at), last)


async def run_day(
    seed: int, *, troubled_s: float = TROUBLED_S, size: Optional[FleetSize] = None
) -> Outcome:
    """Run one day.

    Args:
        seed: Seed of the day.
        troubled_s: Time in which troubles begin, in seconds.
        size: Number of entry VMs and the limit on cold servers; None for the usual ones.

    Raises:
        SoakError: When the entry VMs do not become ready at the start.
    """
    world = World(size or FleetSize())
    planned = plan(seed, troubled_s)
    try:
        await world.start()
        if not await world.keeper.until_all_ready():
            raise SoakError(
                "the entry VMs of the day did not become ready in time",
                "look at a log in the folder out/soak",
            )
        await _traffic(world, planned, seed)
        await judge_shown_keys(world)
        runs = gather_runs(world.backends.all_servers())
        servers = tuple(world.backends.all_servers())
        stand_ins = tuple(server.stand_in for server in servers)
        evidence = Evidence(
            world.ledger, runs, world.loop.time(), stand_ins, servers, world.size.cold_per_s
        )
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
        Caller(world, n, random.Random(rng.random()), sticky=n < _STICKY_CALLERS)
        for n in range(_CALLERS)
    ]
    start = world.loop.time()
    work = [asyncio.create_task(caller.run()) for caller in callers]
    troubles = [asyncio.create_task(_carry_out(world, row, start)) for row in planned[:-1]]
    await asyncio.sleep(planned[-1].at)
    if not await world.keeper.until_all_ready():
        world.ledger.record_broken(
            "RECOVER", f"only these entry VMs are ready: {sorted(world.keeper.ready)}"
        )
    world.ledger.quiet_from = world.loop.time() + _QUIET_FROM_S
    troubles.append(asyncio.create_task(_carry_out(world, planned[-1], start)))
    await asyncio.sleep(_QUIET_S)
    for task in (*work, *troubles):
        task.cancel()
    for result in await asyncio.gather(*work, *troubles, return_exceptions=True):
        if isinstance(result, Exception):
            raise result


async def _carry_out(world: World, row: Planned, start: float) -> None:
    await asyncio.sleep(max(0.0, start + row.at - world.loop.time()))
    await row.kind(world, random.Random(row.seed), row.for_s).carry_out()
