"""Compares what callers saw with what ran at the stand-ins.

Owns the promises to callers of the own interface: nothing lost or wrong, nothing run that was
refused, nothing answered that did not run, nothing run twice that must not. Relies on the stand-ins
for what ran.
"""

from collections import Counter

import aiohttp

from sprucewinch.config.configuration import Configuration, Service

from .results import Result


async def runs_at_servers(configuration: Configuration) -> tuple[Counter[str], int, list[str]]:
    """Ask every stand-in what it ran.

    Returns:
        Runs by operation, refused-for-room answers, and servers that ran more than their slots.
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
    """Return a line for every promise that a request saw broken."""
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
