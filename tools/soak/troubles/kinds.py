"""All kinds of trouble that a day draws from.

Owns their order. A seed draws a kind by its place here: a kind that is added, moved or taken out
gives the seeds in `tests/soak_seeds.toml` another day than the one they are kept for.
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
)
from .servers import Crash, Leave, ServerLink, SlowServers, SpoilAnswers
from .store import CutFromStore, StoreFaulty, StoreForgets, StoreSlow, TurnedAway
from .trouble import Trouble

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
