"""Compares ways to keep a server's limit: `python -m tools.quota_model.server_limits --vms=195`.

Owns the play: requests for one server arrive at random VMs, `OVERLOAD` times as many as it takes;
each that gets no right to be sent goes elsewhere. Ways: one VM of the server's hall gives out
requests (`owners`, the product's), equal parts for all VMs, and sending with a chance of limit by
demand, where each VM knows the demand of the whole fleet (`thinning`). Not compared: sending
through the owner, which would move all answers over its link.
"""

import asyncio
import random
from bisect import bisect_right
from collections.abc import Callable
from typing import NamedTuple

import fire
from rich.console import Console
from rich.table import Table

from sprucewinch.gateway.quotas.quota import Quota, hall_quota
from sprucewinch.gateway.quotas.quotas import QuotaDecision, QuotaEnd
from sprucewinch.gateway.settings import Bounds
from standins.virtual import run_virtual

from .fleet import ModelFleet, ModelVm

WAYS = ("owners", "equal-parts", "thinning")
OVERLOAD = 3.0
"""How many times its limit is asked for."""

WINDOW_S = 4.0
_DAY_S = 24.0
_EVENT_S = 10.0
_SERVER_HALL = 1
"""Number of the data hall in which the server is."""


class Figures(NamedTuple):
    """What a play shows.

    Args:
        over: The most that was sent in any window, as a part of the bound.
        used: Part of the limit that was used.
        p99_ms: 99th percentile of the waits for a decision, in milliseconds.
        most_messages_per_s: Messages a second that the busiest VM sent.
        bytes_per_s: Bytes a second that a VM sent, on the mean.
    """

    over: float
    used: float
    p99_ms: float
    most_messages_per_s: float
    bytes_per_s: float


def calm(_fleet: ModelFleet) -> None:
    """Nothing happens."""


def kill_hall(fleet: ModelFleet) -> None:
    """The VMs of the server's data hall are killed; they start again after 3 s."""
    fleet.kill(fleet.in_hall(fleet.halls[_SERVER_HALL]), 3.0)


def cut_hall(fleet: ModelFleet) -> None:
    """The server's data hall is cut off from the others, and goes on to send to the server."""
    fleet.cut(fleet.in_hall(fleet.halls[_SERVER_HALL]), 1)


def freeze(fleet: ModelFleet) -> None:
    """A third of the VMs stands still for 4 s."""
    fleet.freeze(list(fleet.vms.values())[::3], 4.0)


EVENTS: tuple[Callable[[ModelFleet], None], ...] = (calm, kill_hall, cut_hall, freeze)


class _Play:
    """One play."""

    def __init__(self, way: str, quota: Quota, fleet: ModelFleet, rng: random.Random) -> None:
        self.way = way
        self.quota = quota
        self.fleet = fleet
        self.rng = rng
        self.sent: list[float] = []
        self.waits: list[float] = []
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Let requests arrive until the day is over."""
        end = self.fleet.loop.time() + _DAY_S
        while self.fleet.loop.time() < end:
            await asyncio.sleep(self.rng.expovariate(self.quota.rate_per_s * OVERLOAD))
            living = [vm for vm in self.fleet.vms.values() if vm.alive]
            task = asyncio.create_task(self._ask(self.rng.choice(living)))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _ask(self, vm: ModelVm) -> None:
        now = self.fleet.loop.time
        if vm.frozen_until > now():
            return
        began = now()
        decision = await self._decide(vm)
        self.waits.append(now() - began)
        if decision.end is QuotaEnd.ADMITTED:
            self.sent.append(now())

    async def _decide(self, vm: ModelVm) -> QuotaDecision:
        if self.way == "thinning":
            admitted = self.rng.random() < 1 / OVERLOAD
            return QuotaDecision(QuotaEnd.ADMITTED if admitted else QuotaEnd.OVER)
        return await vm.quotas.take(self.quota)


def play(
    way: str, vms: int, per_s: float, event: Callable[[ModelFleet], None], seed: int
) -> Figures:
    """Play one day and return its figures."""

    async def day(loop: asyncio.AbstractEventLoop) -> Figures:
        kept = "owners" if way == "thinning" else way
        fleet = ModelFleet(loop, vms, {}, Bounds(), way=kept, loss=0.01, seed=seed)
        quota = hall_quota("server", per_s, fleet.halls[_SERVER_HALL])
        held = _Play(way, quota, fleet, random.Random(seed))
        loop.call_later(_EVENT_S, event, fleet)
        await held.run()
        sent = sorted(held.sent)
        most = max(
            (bisect_right(sent, at + WINDOW_S) - index for index, at in enumerate(sent)), default=0
        )
        waits = sorted(held.waits)
        return Figures(
            most / (1.5 * per_s * WINDOW_S + 5),
            len(sent) / _DAY_S / per_s,
            1000 * waits[int(0.99 * (len(waits) - 1))],
            max(vm.messages for vm in fleet.vms.values()) / _DAY_S,
            sum(vm.bytes_sent for vm in fleet.vms.values()) / vms / _DAY_S,
        )

    return run_virtual(day)


def main(vms: str = "12,75,195,300", per_s: float = 3.5, seed: int = 1, events: str = "") -> None:
    """Play each event with each way and print the figures side by side."""
    console = Console(width=140)
    table = Table("VMs", "event", "way", *Figures._fields, title=f"{per_s:g} requests a second")
    counts = [int(count) for count in str(vms).strip("()").replace(" ", "").split(",")]
    chosen = [event for event in EVENTS if not events or event.__name__ in events]
    for count in counts:
        for event in chosen:
            for way in WAYS:
                found = play(way, count, per_s, event, seed)
                row = (f"{value:.2f}" for value in found)
                table.add_row(str(count), event.__name__, way, *row)
    console.print(table)


if __name__ == "__main__":
    fire.Fire(main)
