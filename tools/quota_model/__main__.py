"""Compares ways to keep limits on workspaces: `python -m tools.quota_model --vms=75`."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import fire
from rich.console import Console
from rich.table import Table

from sprucewinch.gateway.resources import Workspace
from sprucewinch.gateway.settings import Bounds
from standins.virtual import run_virtual

from .demand import Demand
from .fleet import ModelFleet
from .judge import Judge

WAYS = ("owners", "equal-parts", "shared-counts")
BOUNDS = Bounds(quota_window_s=5.0, quota_over=0.1, quota_slack=20.0)

_DAY_S = 24.0
"""Virtual length of a play, in seconds."""

_START_S = 3.0
"""Virtual time after a start from which refusals are counted, in seconds: buckets begin nearly
empty."""

_EVENT_S = 8.0
"""Virtual time of what happens in a play, in seconds."""

_LARGE_PER_S = 180.0
_SMALL_PER_S = 4.0
_LARGE_EVERY = 20
"""Every so many workspaces one is large."""


class Play(NamedTuple):
    """One play.

    Args:
        fleet: The fleet.
        demand: Its callers.
    """

    fleet: ModelFleet
    demand: Demand


def calm(_play: Play) -> None:
    """Nothing happens."""


def move(play: Play) -> None:
    """Seven tenths of all callers move to one data hall."""
    play.demand.moved_to, play.demand.moved_part = play.fleet.halls[1], 0.7


def hot(play: Play) -> None:
    """One workspace of each size sends eight times its usual."""
    play.demand.factor = {"w0": 8.0, "w1": 8.0}


def cut_halls(play: Play) -> None:
    """Each data hall is cut off from all others, while workspaces send eight times their usual."""
    hot(play)
    for number, hall in enumerate(play.fleet.halls):
        play.fleet.cut(play.fleet.in_hall(hall), number + 1)


def cut_vms(play: Play) -> None:
    """A third of the VMs is cut off, each alone, while workspaces send eight times their usual."""
    hot(play)
    for number, vm in enumerate(list(play.fleet.vms.values())[::3]):
        play.fleet.cut([vm], number + 1)


def kill_all(play: Play) -> None:
    """All VMs are killed twice, while workspaces send eight times their usual."""
    hot(play)
    vms = list(play.fleet.vms.values())
    play.fleet.kill(vms, 1.0)
    play.fleet.loop.call_later(2.5, play.fleet.kill, vms, 1.0)


def freeze(play: Play) -> None:
    """A third of the VMs stands still for 4 s, while workspaces send eight times their usual."""
    hot(play)
    play.fleet.freeze(list(play.fleet.vms.values())[::3], 4.0)


def lower(play: Play) -> None:
    """All limits are lowered to a quarter, and raised again after 8 s."""
    whole = dict(play.fleet.workspaces)
    lowered = {
        name: held._replace(rate_per_s=held.rate_per_s / 4, burst=held.burst / 4)
        for name, held in whole.items()
    }
    play.fleet.workspaces.update(lowered)
    play.fleet.loop.call_later(8.0, play.fleet.workspaces.update, whole)


EVENTS: tuple[Callable[[Play], None], ...] = (
    calm,
    move,
    hot,
    cut_halls,
    cut_vms,
    kill_all,
    freeze,
    lower,
)


class Figures(NamedTuple):
    """What a play shows.

    Args:
        over: The most that was admitted in any window, as a part of the bound.
        refused: Refusals below the limit, of 1,000 requests below it.
        refused_after: The same in the 2 s after the event.
        p50_ms: Median wait for a decision, in milliseconds.
        p99_ms: Its 99th percentile.
        kb_per_s: Kilobytes a second that a VM sends, on the mean.
        messages_per_s: Messages a second that a VM sends, on the mean.
    """

    over: float
    refused: float
    refused_after: float
    p50_ms: float
    p99_ms: float
    kb_per_s: float
    messages_per_s: float


def workspaces(count: int) -> dict[str, Workspace]:
    """Return some workspaces, one in `_LARGE_EVERY` of them large."""
    rates = [_SMALL_PER_S if n % _LARGE_EVERY else _LARGE_PER_S for n in range(count)]
    return {
        f"w{n}": Workspace(f"w{n}", (), rate_per_s=rate, burst=rate) for n, rate in enumerate(rates)
    }


def play(  # noqa: PLR0913  one argument a part of a play
    way: str, vms: int, count: int, event: Callable[[Play], None], *, loss: float, seed: int
) -> Figures:
    """Play one day and return its figures."""

    async def day(loop: asyncio.AbstractEventLoop) -> Figures:
        held = workspaces(count)
        judge = Judge(BOUNDS)
        fleet = ModelFleet(loop, vms, held, BOUNDS, way=way, loss=loss, seed=seed)
        demand = Demand(fleet, judge, seed=seed)
        began = loop.time()
        demand.start()
        await asyncio.sleep(_EVENT_S)
        event(Play(fleet, demand))
        await asyncio.sleep(_DAY_S - _EVENT_S)
        demand.stop()
        share = len(fleet.vms) * _DAY_S
        return Figures(
            judge.most_over(held),
            judge.refused_below(began + _START_S),
            judge.refused_below(began + _EVENT_S, began + _EVENT_S + 2.0),
            judge.waited_ms(0.5),
            judge.waited_ms(0.99),
            sum(vm.bytes_sent for vm in fleet.vms.values()) / share / 1000,
            sum(vm.messages for vm in fleet.vms.values()) / share,
        )

    return run_virtual(day)


def main(  # noqa: PLR0913  one argument a setting
    vms: int = 75,
    count: int = 80,
    ways: str = ",".join(WAYS),
    events: str = "",
    loss: float = 0.01,
    seed: int = 1,
) -> None:
    """Play each event with each way and print the figures side by side."""
    console = Console(width=140)
    table = Table("event", "way", *Figures._fields, title=f"{vms} VMs, {count} workspaces")
    wanted = events.split(",") if isinstance(events, str) and events else list(events)
    chosen = [event for event in EVENTS if not wanted or event.__name__ in wanted]
    for event in chosen:
        for way in ways.split(",") if isinstance(ways, str) else ways:
            found = play(way, vms, count, event, loss=loss, seed=seed)
            table.add_row(event.__name__, way, *(f"{value:.2f}" for value in found))
    console.print(table)


if __name__ == "__main__":
    fire.Fire(main)
