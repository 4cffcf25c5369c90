"""Compares the callers' results with what ran at the stand-ins.

This module holds the guarantees to callers of the own interface: no request is lost or answered
wrongly, none runs that was refused as not run, none is answered without a run, and none that is not
repeatable runs twice. It relies on the stand-ins for the record of what ran.
"""

from collections import Counter

import aiohttp

from sprucewinch.config.configuration import Configuration, Service

from .results import Result


async def runs_at_servers(configuration: Configuration) -> tuple[Counter[str], int, list[str]]:
    """Ask each stand-in what it ran.

    Returns:
        Runs by operation, number of requests that servers refused for lack of a slot, and servers
        that ran more requests at once than they have slots.
    """
    runs: Counter[str] = Counter()
    shed, over = 0, []
    async with aiohttp.ClientSession() as session:
        for pool in configuration.pool:
            for server in pool.servers:
                async with session.get(f"http://{server}/stand-in/runs") as response:
                    report = await response.json()
                runs.update(report["runs"])
                shed += report["counters"].get("shed", 0)
                if report["most_in_use"] > pool.slots:
                    over.append(server)
    return runs, shed, over


def broken_promises(
    results: list[Result], runs: Counter[str], services: dict[str, Service]
) -> list[str]:
    """Return one line for each violation of a guarantee."""
    broken = []
    for result in results:
        ran = runs.get(result.operation, 0)
        if result.outcome in ("lost", "wrong"):
            broken.append(f"{result.operation}: {result.outcome} {result.reason}")
        if result.outcome == "not-run" and ran:
            broken.append(f"{result.operation}: refused as not run, but ran {ran} times")
        if result.outcome == "answered" and not ran:
            broken.append(f"{result.operation}: answered, but never ran")
        if ran > 1 and not services[result.service].repeatable:
            broken.append(f"{result.operation}: ran {ran} times")
    return broken
