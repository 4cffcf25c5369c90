"""Runs days of the soak and prints the promises that were broken.

Owns the command line, the number of days that run at once, and the folder for the logs of days with
a broken promise; `day` runs a single one. The exit status is 1 when a promise was broken.

python -m tools.soak --seeds=1:50 --jobs=3
"""

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Optional

import fire
from rich.console import Console

from .configuration import COLD_PER_S
from .day import TROUBLED_S, Outcome, SoakError, run_day
from .world import FleetSize

LOGS = Path("out/soak")
"""Folder for the logs of days with a broken promise."""

_MAX_JOBS = 6
"""Maximum number of days that run at once on one machine."""


def parse_seeds(text: str) -> list[int]:
    """Return the seeds in a text such as `7`, `1:50` or `3,9,12`.

    Raises:
        SoakError: When the text has another form.
    """
    try:
        if ":" in text:
            first, last = (int(word) for word in text.split(":"))
            return list(range(first, last + 1))
        return [int(word) for word in text.split(",")]
    except ValueError:
        raise SoakError(f"seeds cannot be read from {text!r}", "write 7, 1:50 or 3,9,12") from None


async def run_days(
    seeds: list[int],
    jobs: int,
    troubled_s: float = TROUBLED_S,
    size: Optional[FleetSize] = None,
) -> list[Outcome]:
    """Run several days, `jobs` of them at once, and print each as it ends."""
    console = Console()
    left = list(reversed(seeds))
    outcomes: list[Outcome] = []

    async def worker() -> None:
        while left:
            outcome = await run_day(left.pop(), troubled_s=troubled_s, size=size)
            outcomes.append(outcome)
            print_outcome(console, outcome)

    await asyncio.gather(*(worker() for _ in range(jobs)))
    return outcomes


def print_outcome(console: Console, outcome: Outcome) -> None:
    """Print the result of a day, with its plan if a promise was broken."""
    statuses = ", ".join(f"{name}: {count}" for name, count in sorted(outcome.statuses.items()))
    word = "broken" if outcome.broken else "kept"
    console.print(f"seed {outcome.seed}: {word}; {outcome.attempts} attempts ({statuses})")
    if outcome.broken:
        for row in outcome.plan:
            console.print(f"    {row.at:5.1f} s {row.kind.__name__} for {row.for_s} s")
        for broken in outcome.broken[:10]:
            console.print(f"    {broken.rule}: {broken.what}", markup=False)
        console.print(f"    logs: {keep_logs(outcome)}")


def keep_logs(outcome: Outcome, folder: Path = LOGS) -> Path:
    """Write the log lines of each entry VM of a day to a file, and return the folder."""
    kept = folder / f"seed-{outcome.seed}"
    kept.mkdir(parents=True, exist_ok=True)
    for name, lines in outcome.lines.items():
        text = "".join(json.dumps(line) + "\n" for line in lines)
        (kept / f"{name}.log").write_text(text, encoding="utf-8")
    return kept


def main(
    seeds: str = "",
    jobs: int = 1,
    seconds: float = TROUBLED_S,
    vms: int = 1,
    cold_per_s: float = COLD_PER_S,
) -> None:
    """Run days of the soak.

    Args:
        seeds: Seeds such as 7, 1:50 or 3,9,12; a fresh one when empty.
        jobs: Number of days at once, each with its own processes.
        seconds: Time in which troubles begin in a day.
        vms: Entry VMs of each of three data halls.
        cold_per_s: Requests a second that a cold backend server may get.
    """
    size = FleetSize(vms, cold_per_s)
    try:
        chosen = parse_seeds(str(seeds).strip("()").replace(" ", "")) if seeds else [fresh_seed()]
    except SoakError as error:
        print(error, file=sys.stderr)
        sys.exit(error.exit_code)
    outcomes = asyncio.run(run_days(chosen, max(1, min(jobs, _MAX_JOBS)), seconds, size))
    broken = sorted(outcome.seed for outcome in outcomes if outcome.broken)
    print(f"{len(outcomes)} days, {len(broken)} with a broken promise: {broken}")
    sys.exit(1 if broken else 0)


def fresh_seed() -> int:
    """Return a seed that has most likely not been used before."""
    return time.time_ns() % (1 << 31)


if __name__ == "__main__":
    fire.Fire(main)
