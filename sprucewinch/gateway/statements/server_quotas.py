"""The limits that servers state, kept over the whole fleet; load pattern: a server in need.

Question: may this request be sent to a server that takes only some requests a second, from all VMs
together? Inputs: what this VM was told of the server's process, the server's quota. Rule: each send
takes one request of a quota that one VM of the server's data hall gives out; where it has none the
server is passed over until it has one again. What is not sent after all is given back.

Why so: parts of a limit divided among VMs are a fraction of a request every many seconds each, and
sending with a chance needs every VM to know the demand at all others. Compared in
`tools/quota_model` at 12 to 2,800 VMs (docs/CAPACITY.md).

Constants: those of `quotas.quota` and `stated_limit`. Shows in: `limited_until` of `/state`;
`no-server` where all servers are passed over. Tests: tests/test_gateway_server_limits.py.
"""

import abc
from collections.abc import Callable
from typing import NamedTuple, Optional

from ..quotas.quota import Quota, hall_quota
from ..quotas.quotas import FleetQuotas, QuotaDecision, QuotaEnd, Quotas
from ..resources import BackendEntry
from .process_statements import ProcessStatements, ServerProcessId, StatementTable

_PREFIX = "\x1fserver|"
"""Begins the names of servers' quotas; no workspace's name begins so."""

_LEAST_PAUSE_S = 0.02
"""Least time for which a server is passed over that has nothing to give, in seconds."""


class ServerGrant(NamedTuple):
    """The right to send one request to a server.

    Args:
        quota: The server's quota; None when the server stated no limit.
        decision: What was taken of it.
    """

    quota: Optional[Quota] = None
    decision: Optional[QuotaDecision] = None


UNLIMITED = ServerGrant()


class ServerQuotas(abc.ABC):
    """Lets requests pass to servers that state limits."""

    @abc.abstractmethod
    async def take(self, backend: BackendEntry, stated: ProcessStatements) -> Optional[ServerGrant]:
        """Return the right to send one request to a server; None when it takes none now."""

    @abc.abstractmethod
    def give_back(self, grant: ServerGrant) -> None:
        """Give back a right of which nothing was sent."""


class FleetServerQuotas(ServerQuotas):
    """Limits kept over the fleet.

    Args:
        quotas: Keeps them.
        monotonic: Source of time, in seconds.
    """

    def __init__(self, quotas: Quotas, monotonic: Callable[[], float]) -> None:
        self.quotas = quotas
        self.monotonic = monotonic

    async def take(self, backend: BackendEntry, stated: ProcessStatements) -> Optional[ServerGrant]:
        """Return the right to send one request; see `ServerQuotas`."""
        rate_per_s = stated.limit.rate_per_s(self.monotonic())
        if rate_per_s is None:
            return UNLIMITED
        quota = server_quota(backend, rate_per_s)
        decision = await self.quotas.take(quota)
        if decision.end is QuotaEnd.ADMITTED:
            return ServerGrant(quota, decision)
        stated.no_token_until = self.monotonic() + max(_LEAST_PAUSE_S, decision.ask_again_s)
        return None

    def give_back(self, grant: ServerGrant) -> None:
        """Give back a right of which nothing was sent; see `ServerQuotas`."""
        if grant.quota is not None and grant.decision is not None:
            self.quotas.give_back(grant.quota, grant.decision)


def server_quota(backend: BackendEntry, rate_per_s: float) -> Quota:
    """Return the quota of a server.

    Args:
        backend: Its entry.
        rate_per_s: Requests a second that it takes from all VMs together.
    """
    return hall_quota(_quota_name(ServerProcessId.of(backend)), rate_per_s, backend.hall)


def forget_unstated(quotas: FleetQuotas, table: StatementTable) -> None:
    """Drop what this VM used of the quotas of servers whose statements are forgotten.

    What it gives out of them stays: other VMs may know a server that this one does not.

    Args:
        quotas: All quotas, as this VM keeps them.
        table: What the servers have stated.
    """
    stated = {_quota_name(process) for process in table.rows}
    quotas.forget(lambda name: is_server_quota(name) and name not in stated)


def is_server_quota(name: str) -> bool:
    """Return whether a quota of some name is a server's."""
    return name.startswith(_PREFIX)


def _quota_name(process: ServerProcessId) -> str:
    return f"{_PREFIX}{process.server_id}|{process.incarnation}"
