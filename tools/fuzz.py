"""A longer run of all state machines with fresh seeds; prints the seed of a failure.

Owns the list of state machines and how long each run is; the machines stand in the tests. A seed
that failed is played again with `--only`.
"""

import random
import sys
import time
import traceback

import fire
from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, get_state_machine_test

from tests.test_exchange import Spreading
from tests.test_shift import FleetShift
from tests.test_slots import HallSlots
from tests.test_tickets import OneRun

MACHINES: tuple[type[RuleBasedStateMachine], ...] = (FleetShift, HallSlots, OneRun, Spreading)
_EXAMPLES = 30
"""Examples of one seed. A guess, never measured."""

_STEPS = 60
"""Steps of one example. A guess, never measured."""

_S_PER_MINUTE = 60
"""Seconds in a minute."""


def _counting(machine: type[RuleBasedStateMachine], counts: dict[str, int]) -> type:
    """Return a machine that counts its steps."""

    class Counting(machine):  # type: ignore[valid-type,misc]
        def check_invariants(self, *args: object, **keywords: object) -> None:
            counts[machine.__name__] = counts.get(machine.__name__, 0) + 1
            super().check_invariants(*args, **keywords)

    Counting.__name__ = machine.__name__
    return Counting


def _run(machine: type[RuleBasedStateMachine], number: int, counts: dict[str, int]) -> bool:
    options = settings(
        max_examples=_EXAMPLES,
        stateful_step_count=_STEPS,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    factory = _counting(machine, counts)
    try:
        seed(number)(get_state_machine_test(factory, settings=options))()
    except Exception:  # noqa: BLE001  any fault is printed and fails the run
        traceback.print_exc()
        print(f"FAILED {machine.__name__} with --only={number}")
        return False
    return True


def main(minutes: float = 2.0, only: int | None = None) -> None:
    """Run the machines in turn.

    Args:
        minutes: How long.
        only: Run each machine once, with this seed.
    """
    counts: dict[str, int] = {}
    failures = 0
    rng = random.SystemRandom()
    until = time.monotonic() + minutes * _S_PER_MINUTE
    while True:
        number = rng.getrandbits(32) if only is None else only
        failures += sum(not _run(machine, number, counts) for machine in MACHINES)
        if only is not None or failures or time.monotonic() > until:
            break
    for name, steps in sorted(counts.items()):
        print(f"{name}: {steps} generated steps")
    print(f"{failures} failures")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    fire.Fire(main)
