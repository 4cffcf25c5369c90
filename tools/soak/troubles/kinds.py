"""All kinds of trouble that a day draws from.

Owns their order. A seed draws a kind by its place here: a kind that is added, moved or taken out
gives the seeds in `tests/soak_seeds.toml` another day than the one they are kept for. So new kinds
go into a list of their own, from which only seeds from some number on draw.
"""

from .operators import Change, Evacuate
from .processes import (
    ClockStep,
    Kill,
    KillAll,
    KillInStop,
    Pause,
    Reload,
    RollingStop,
    Stop,
    StopTwice,
    Suspend,
)
from .servers import (
    Crash,
    Leave,
    ServerLink,
    SickRequest,
    SlowServers,
    SpoilAnswers,
    SpoilEntry,
    StartAgain,
)
from .statements import AskRest, LeaveByWord, LimitItself
from .store import CutFromStore, StoreFaulty, StoreForgets, StoreSlow, TurnedAway
from .trouble import Trouble
from .workspaces import HotWorkspace, Keys, LowerRate

KINDS: tuple[type[Trouble], ...] = (
    Stop,
    StopTwice,
    RollingStop,
    Kill,
    KillAll,
    KillInStop,
    Pause,
    Reload,
    ClockStep,
    CutFromStore,
    TurnedAway,
    StoreFaulty,
    StoreSlow,
    StoreForgets,
    Leave,
    Crash,
    SpoilAnswers,
    SlowServers,
    ServerLink,
    Change,
    Evacuate,
)

ADDED_KINDS: tuple[type[Trouble], ...] = (StartAgain, SpoilEntry)

FIRST_SEED_OF_ADDED_KINDS = 100_000
"""First seed whose day draws from `ADDED_KINDS` too; days of the seeds before stay as they are."""

CRASH_KINDS: tuple[type[Trouble], ...] = (SickRequest, SickRequest, SickRequest, Suspend)
"""A request that crashes servers is drawn more often than others: it needs a day of them."""

FIRST_SEED_OF_CRASH_KINDS = 200_000
"""First seed whose day draws from `CRASH_KINDS` too."""


WORKSPACE_KINDS: tuple[type[Trouble], ...] = (Keys, HotWorkspace, HotWorkspace, LowerRate)
"""Trouble with workspaces: a hot one is drawn more often."""

FIRST_SEED_OF_WORKSPACE_KINDS = 300_000
"""First seed whose day draws from `WORKSPACE_KINDS` too."""


STATEMENT_KINDS: tuple[type[Trouble], ...] = (LimitItself, LimitItself, LeaveByWord, AskRest) * 2
"""Servers that state something of themselves; drawn often, as other troubles are to overlap."""

FIRST_SEED_OF_STATEMENT_KINDS = 400_000
"""First seed whose day draws from `STATEMENT_KINDS` too."""


def kinds_of(seed: int) -> tuple[type[Trouble], ...]:
    """Return the kinds that the day of a seed draws from."""
    if seed < FIRST_SEED_OF_ADDED_KINDS:
        return KINDS
    if seed < FIRST_SEED_OF_CRASH_KINDS:
        return (*KINDS, *ADDED_KINDS)
    if seed < FIRST_SEED_OF_WORKSPACE_KINDS:
        return (*KINDS, *ADDED_KINDS, *CRASH_KINDS)
    if seed < FIRST_SEED_OF_STATEMENT_KINDS:
        return (*KINDS, *ADDED_KINDS, *CRASH_KINDS, *WORKSPACE_KINDS)
    return (*KINDS, *ADDED_KINDS, *CRASH_KINDS, *WORKSPACE_KINDS, *STATEMENT_KINDS)
