"""All kinds of trouble that a day draws from.

Owns their order. A seed draws a kind by its position here, so adding, moving or removing a kind
would give the seeds in `tests/soak_seeds.toml` another day than the one for which they are kept.
New kinds therefore go into a list of their own, from which only seeds from some number on draw.
"""

from .callers import Downloads, SendTogether, SlowReaders
from .limits import (
    ColdWithoutStore,
    FailAnswers,
    FewCallers,
    KillAllSeries,
    KillSeries,
    TurnCold,
)
from .older_copy import StoreReturns
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
from .scale import FetchMetrics, LongUploads, OddStatusLines, ReplaceRoutes
from .server_links import LoseLinks
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
from .slow_bookings import StopOne, StopsInSeries, StopsOverlapping
from .statements import AskRest, LeaveByWord, LimitItself, StateLoad
from .store import CutFromStore, StoreFaulty, StoreForgets, StoreSlow, TurnedAway
from .trouble import Trouble
from .uploads import RefusedUploads, StalledUploads, UpgradeOffers
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
"""First seed that draws from `ADDED_KINDS` too; the days of lower seeds stay unchanged."""

CRASH_KINDS: tuple[type[Trouble], ...] = (SickRequest, SickRequest, SickRequest, Suspend)
"""A request that crashes servers is listed thrice, as a day needs several of them."""

FIRST_SEED_OF_CRASH_KINDS = 200_000
"""First seed that draws from `CRASH_KINDS` too."""


WORKSPACE_KINDS: tuple[type[Trouble], ...] = (Keys, HotWorkspace, HotWorkspace, LowerRate)
"""Troubles of workspaces; the one that sends too much is drawn more often."""

FIRST_SEED_OF_WORKSPACE_KINDS = 300_000
"""First seed that draws from `WORKSPACE_KINDS` too."""


STATEMENT_KINDS: tuple[type[Trouble], ...] = (LimitItself, LimitItself, LeaveByWord, AskRest) * 2
"""Statements of servers, drawn often so that other troubles overlap with them."""

FIRST_SEED_OF_STATEMENT_KINDS = 400_000
"""First seed that draws from `STATEMENT_KINDS` too."""


CALLER_KINDS: tuple[type[Trouble], ...] = (
    SendTogether,
    SendTogether,
    SlowReaders,
    Downloads,
    StateLoad,
) * 2
"""What callers on few connections do, and servers that state how long their work takes."""

FIRST_SEED_OF_CALLER_KINDS = 500_000
"""First seed that draws from `CALLER_KINDS` too."""

LINK_KINDS: tuple[type[Trouble], ...] = (LoseLinks,) * 16
"""Entry VMs that lose their links, drawn often so that other troubles overlap with it."""

FIRST_SEED_OF_LINK_KINDS = 600_000
"""First seed that draws from `LINK_KINDS` too."""

COPY_KINDS: tuple[type[Trouble], ...] = (StoreReturns, StoreReturns, Leave, Change) * 4
"""Returns of the store from older copies, beside changes of which the copies know nothing."""

FIRST_SEED_OF_COPY_KINDS = 700_000
"""First seed that draws from `COPY_KINDS` too."""

LIMIT_KINDS: tuple[type[Trouble], ...] = (
    KillSeries,
    KillAllSeries,
    FailAnswers,
    FailAnswers,
    TurnCold,
    ColdWithoutStore,
    ColdWithoutStore,
    FewCallers,
) * 5
"""What makes limits of the whole fleet hard to keep, drawn often so that these overlap."""

FIRST_SEED_OF_LIMIT_KINDS = 800_000
"""First seed that draws from `LIMIT_KINDS` too."""

UPLOAD_KINDS: tuple[type[Trouble], ...] = (
    RefusedUploads,
    RefusedUploads,
    UpgradeOffers,
    StalledUploads,
) * 8
"""Uploads that are refused, stand still or offer an upgrade, beside all other troubles."""

FIRST_SEED_OF_UPLOAD_KINDS = 1_000_000
"""First seed that draws from `UPLOAD_KINDS` too."""

STOP_KINDS: tuple[type[Trouble], ...] = (
    StopOne,
    StopsOverlapping,
    StopsOverlapping,
    StopsInSeries,
    Reload,
    StopTwice,
) * 20
"""Stops under bookings whose bodies come slowly, beside all other troubles."""

FIRST_SEED_OF_STOP_KINDS = 1_200_000
"""First seed that draws from `STOP_KINDS` too."""

SCALE_KINDS: tuple[type[Trouble], ...] = (
    ReplaceRoutes,
    ReplaceRoutes,
    FetchMetrics,
    LongUploads,
    OddStatusLines,
) * 40
"""Many routes that come and go, fetches of metrics, long bodies and invalid status lines."""

FIRST_SEED_OF_SCALE_KINDS = 1_500_000
"""First seed that draws from `SCALE_KINDS` too."""

_ADDED = (
    (FIRST_SEED_OF_ADDED_KINDS, ADDED_KINDS),
    (FIRST_SEED_OF_CRASH_KINDS, CRASH_KINDS),
    (FIRST_SEED_OF_WORKSPACE_KINDS, WORKSPACE_KINDS),
    (FIRST_SEED_OF_STATEMENT_KINDS, STATEMENT_KINDS),
    (FIRST_SEED_OF_CALLER_KINDS, CALLER_KINDS),
    (FIRST_SEED_OF_LINK_KINDS, LINK_KINDS),
    (FIRST_SEED_OF_COPY_KINDS, COPY_KINDS),
    (FIRST_SEED_OF_LIMIT_KINDS, LIMIT_KINDS),
    (FIRST_SEED_OF_UPLOAD_KINDS, UPLOAD_KINDS),
    (FIRST_SEED_OF_STOP_KINDS, STOP_KINDS),
    (FIRST_SEED_OF_SCALE_KINDS, SCALE_KINDS),
)
"""Kinds beside `KINDS`, each with the first seed that draws from them, in this order."""


def kinds_of(seed: int) -> tuple[type[Trouble], ...]:
    """Return the kinds from which the day of a seed draws."""
    return (*KINDS, *(kind for first, kinds in _ADDED if seed >= first for kind in kinds))
