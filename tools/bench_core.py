"""Measures how the costs of the core grow: slopes with residuals, and figures at two sizes.

Owns the measurements and the lines fitted to them. All are processor time or traced memory of this
process. Relies on `synthetic` for deployments; `docs/CAPACITY.md` holds results.
"""

import gc
import json
import random
import resource
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

import fire
import msgspec
from rich.console import Console
from rich.table import Table

from sprucewinch.config.configuration import Document
from sprucewinch.config.loading import decode_document, encode_document
from sprucewinch.hall.peers.exchange import Exchange, choose_partners
from sprucewinch.hall.peers.peer_pb2 import ExchangeReply, ExchangeRequest
from sprucewinch.hall.peers.view import MeasuresView
from sprucewinch.hall.planning.planner import Planner
from sprucewinch.hall.planning.shares_in_force import SharesInForce
from sprucewinch.hall.planning.topology import Topology
from sprucewinch.steering.placement import BlockTable
from tools.synthetic import TARGET, TODAY, Size, client_blocks, configuration, member, node

_REPEATS = 5
"""Samples of a time, of which the median counts. A guess, never measured."""


class Fit(NamedTuple):
    """A straight line through measured points.

    Args:
        name: What was measured, with its unit.
        against: What it grows with.
        points: Sizes and measured values.
        slope: Growth for each unit of size.
        base: Value at size 0.
        residual: Largest distance of a point from the line, as a part of the largest value.
    """

    name: str
    against: str
    points: list[tuple[float, float]]
    slope: float
    base: float
    residual: float


def fit(name: str, against: str, points: list[tuple[float, float]]) -> Fit:
    """Fit a line by least squares."""
    xs, ys = [x for x, _ in points], [y for _, y in points]
    line = statistics.linear_regression(xs, ys)
    off = max(abs(y - (line.intercept + line.slope * x)) for x, y in points)
    return Fit(name, against, points, line.slope, line.intercept, off / max(ys))


def seconds(action: Callable[[], Any], least_s: float = 0.05) -> float:
    """Return the median time of an action, in seconds of processor time."""
    samples = []
    for _ in range(_REPEATS):
        count = 0
        began = time.process_time()
        while time.process_time() - began < least_s:
            action()
            count += 1
        samples.append((time.process_time() - began) / count)
    return statistics.median(samples)


def memory_of(build: Callable[[], Any]) -> float:
    """Return the bytes that a built value keeps."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def lookups() -> dict[str, Any]:
    """Measure one look-up in the core at both sizes."""
    found = {}
    for name, size in (("today", TODAY), ("target", TARGET)):
        made = node(size)
        rng = random.Random(2)
        blocks = rng.sample(list(client_blocks(size.blocks)), min(size.blocks, 2000))
        services = list(made.topology.services)
        asked = [(rng.choice(blocks), rng.choice(services)) for _ in range(2000)]

        def ask(made: Any = made, asked: list = asked) -> None:
            for block, service in asked:
                made.lookup(block, service)

        found[name] = {"us": seconds(ask) / len(asked) * 1e6, "sites": size.halls * size.services}
    return found


def _sized(**changes: int) -> Size:
    return TODAY._replace(**changes)


def tick_against_vms() -> Fit:
    """Measure one round of a node against entry VMs."""
    points = []
    for vms in (12, 100, 400, 1000, 2800):
        made = node(_sized(vms=vms, blocks=300))
        points.append((vms, seconds(lambda made=made: made.tick(0.0)) * 1000))
    return fit("round of a node, ms", "entry VMs", points)


def tick_against_shares() -> Fit:
    """Measure one round of a node against shares kept: client regions times services."""
    points = []
    for regions, services in ((3, 3), (10, 6), (20, 12), (52, 12), (52, 24)):
        made = node(_sized(regions=regions, halls=regions, services=services, blocks=300))
        points.append((regions * services, seconds(lambda made=made: made.tick(0.0)) * 1000))
    return fit("round of a node, ms", "client regions x services", points)


def exchange_against_vms() -> tuple[Fit, Fit]:
    """Measure one exchange in which nothing but two entries is new."""
    times, sizes = [], []
    for vms in (12, 100, 400, 1000, 2800):
        one, other = node(_sized(vms=vms)), node(_sized(vms=vms))
        other.own.vm = "vm-peer"

        def meet(one: Any = one, other: Any = other) -> int:
            one.membership.increment_version()
            other.membership.increment_version()
            request = Exchange(one).make_request().SerializeToString()
            reply = Exchange(other).handle_request(ExchangeRequest.FromString(request), 0.0)
            raw = reply.SerializeToString()
            Exchange(one).handle_reply(ExchangeReply.FromString(raw), 0.0)
            return len(request) + len(raw)

        meet()
        sizes.append((vms, float(meet())))
        times.append((vms, seconds(meet) * 1000 / 2))
    return (
        fit("one side of an exchange, ms", "entry VMs", times),
        fit("bytes of an exchange, both ways", "entry VMs", sizes),
    )


def entry_against_services() -> Fit:
    """Measure the bytes of one VM's entry against services."""
    rng = random.Random(3)
    points = [
        (n, float(member(_sized(services=n), 1, rng).ByteSize())) for n in (1, 3, 6, 12, 24, 48)
    ]
    return fit("bytes of one VM's entry", "services", points)


def plan_against_services() -> Fit:
    """Measure one planning round of a client region at 52 regions against services."""
    points = []
    for services in (3, 6, 12, 24):
        size = _sized(regions=52, halls=52, services=services, vms=104)
        made = node(size, blocks=False)
        planner = Planner("region-00", "me")
        planner.start_from(None, made.topology, -60.0)

        def plan(made: Any = made, planner: Planner = planner) -> None:
            view = MeasuresView(made.topology, made.membership, "region-00", 0.0)
            measured = {service: view.snapshot(service) for service in made.topology.services}
            planner.propose(made.topology, made.policies, measured, 0.0)

        points.append((services, seconds(plan) * 1000))
    return fit("planning round at 52 regions, ms", "services", points)


def plan_against_vms() -> Fit:
    """Measure adding up all members for one planning round against entry VMs, 24 services."""
    points = []
    for vms in (100, 400, 1000, 2800):
        made = node(_sized(vms=vms, regions=52, halls=52, services=24), blocks=False)

        def view(made: Any = made) -> Any:
            return MeasuresView(made.topology, made.membership, "region-00", 0.0)

        points.append((vms, seconds(view) * 1000))
    return fit("adding up members for a plan, ms", "entry VMs", points)


def document_against_sites() -> tuple[Fit, Fit]:
    """Measure the configuration's bytes, and applying it, against sites."""
    sizes, times = [], []
    for halls in (6, 30, 60, 131):
        size = _sized(regions=min(halls, 52), halls=halls, services=24)
        value = encode_document(Document(1, configuration(size, blocks=False)))
        sizes.append((halls * 24, float(len(value))))
        times.append((halls * 24, seconds(lambda v=value: Topology(decode_document(v))) * 1000))
    return (
        fit("bytes of the configuration, no blocks", "sites", sizes),
        fit("reading and checking it, ms", "sites", times),
    )


def blocks_slopes() -> tuple[Fit, Fit]:
    """Measure the block table's memory, and the configuration's bytes, against client blocks."""
    memory, sizes = [], []
    for count in (20_000, 80_000, 200_000, 660_000):
        listed = list(client_blocks(count))
        memory.append((count, memory_of(lambda x=listed: BlockTable((b, "r") for b in x))))
        sizes.append((count, float(len(msgspec.json.encode(listed)))))
    return (
        fit("bytes of the block table", "client blocks", memory),
        fit("bytes of blocks in the configuration", "client blocks", sizes),
    )


def memory_against_vms() -> Fit:
    """Measure the memory of the member table against entry VMs, with 24 services each."""
    size = _sized(services=24)

    def table(count: int) -> list:
        rng = random.Random(4)
        encoded = [member(size, n, rng).SerializeToString() for n in range(count)]
        return [type(member(size, 0, rng)).FromString(raw) for raw in encoded]

    points = []
    for count in (200, 400, 800, 1600):
        gc.collect()
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        kept = table(count)
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        points.append((count, float(max(0, after - before) * 1024)))
        del kept
    return fit("resident bytes of the member table", "entry VMs", points)


def memory_of_shares() -> Fit:
    """Measure the memory of shares in force against client regions times services."""
    points = []
    for regions, services in ((3, 3), (20, 12), (52, 12), (52, 24)):
        size = _sized(regions=regions, halls=regions, services=services)
        made = node(size, blocks=False)

        def shares(made: Any = made) -> Any:
            shares_in_force = SharesInForce()
            shares_in_force.tick(made.topology, 0.0)
            return shares_in_force

        points.append((regions * services, memory_of(shares)))
    return fit("bytes of shares in force", "client regions x services", points)


def partners_at_target() -> int:
    """Return how many exchanges a VM begins in one round at the target."""
    made = node(TARGET._replace(blocks=0), blocks=False)
    return len(choose_partners(made, random.Random(5), 0.0))


def _show(console: Console, fits: list[Fit]) -> None:
    table = Table(title="slopes")
    for column in ("what", "against", "at 0", "slope", "residual", "points"):
        table.add_column(column, overflow="fold")
    for row in fits:
        points = " ".join(f"{x:g}:{y:.4g}" for x, y in row.points)
        table.add_row(
            row.name,
            row.against,
            f"{row.base:.4g}",
            f"{row.slope:.4g}",
            f"{row.residual:.1%}",
            points,
        )
    console.print(table)


def main(json_path: str = "") -> None:
    """Run all measurements of the core; a minute or two.

    Args:
        json_path: Where to write the figures as JSON too.
    """
    console = Console(width=None if sys.stdout.isatty() else 160)
    memory = memory_against_vms()
    fits = [
        tick_against_vms(),
        tick_against_shares(),
        *exchange_against_vms(),
        entry_against_services(),
        plan_against_services(),
        plan_against_vms(),
        *document_against_sites(),
        *blocks_slopes(),
        memory,
        memory_of_shares(),
    ]
    asked = lookups()
    _show(console, fits)
    for name, row in asked.items():
        console.print(f"look-up in the core, {name}: {row['us']:.2f} us at {row['sites']} sites")
    partners = partners_at_target()
    console.print(f"exchanges a VM begins in one round at the target: {partners}")
    if json_path:
        with open(json_path, "w", encoding="utf-8") as file:
            rows = [row._asdict() for row in fits]
            json.dump({"fits": rows, "lookups": asked, "partners": partners}, file, indent=2)


if __name__ == "__main__":
    fire.Fire(main)
