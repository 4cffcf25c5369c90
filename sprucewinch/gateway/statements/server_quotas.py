"""Keeps the rate limits that servers state over the requests of all VMs together.

Each send to a server that states a limit takes one request from a quota that one VM of the server's
data hall grants. When the quota has none left, the server is skipped until it has one again. A
request that is not sent after all is given back.

Other ways were compared in `tools/quota_model` at 12 to 2,800 VMs (docs/CAPACITY.md). A limit that
is divided among the VMs leaves each of them a fraction of a request every many seconds, and sending
with a probability needs every VM to know the demand at all others.

Relies on the statements that this VM knows of the server's process, on `stated_limit` for the rate
and on `quotas.quota`. Results show in `no_token_s` of `/state`, and in the outcome `no-server`
if all servers are skipped. Tests: tests/test_gateway_server_limits.py.
"""

import abc
from collections.abc import Callable
from typing import NamedTuple, Optional

from ..quotas.quota import Quota, hall_quota
from ..quotas.quotas import FleetQuotas, QuotaDecision, QuotaEnd, Quotas
from ..resources import BackendEntry
from .process_statements import ProcessStatements, ServerProcessId, StatementTable

_NAME_PREFIX = "\x1fserver|"
"""Prefix of the names of servers' quotas, with which no name of a workspace begins."""

_MIN_PAUSE_S = 0.02
"""Shortest time for which a server is skipped after its quota had nothing left, in seconds."""


class ServerGrant(NamedTuple):
    """Permission to send one request to a server.

    Args:
        quota: The server's quota; None if the server states no limit.
        decision: The decision by which the request was taken from it; None without a quota.
    """

    quota: Optional[Quota] = None
    decision: Optional[QuotaDecision] = None


UNLIMITED = ServerGrant()


class ServerQuotas(abc.ABC):
    """Grants requests to servers that state limits."""

    @abc.abstractmethod
    async def take(self, backend: BackendEntry, stated: ProcessStatements) -> Optional[ServerGrant]:
        """Return a grant to send one request to a server; None if it accepts none now."""

    @abc.abstractmethod
    def give_back(self, grant: ServerGrant) -> None:
        """Give back a grant whose request was not sent."""


class FleetServerQuotas(ServerQuotas):
    """Grants requests from quotas that all VMs share.

    Args:
        quotas: Keeps the quotas.
        monotonic: Returns monotonic time, in seconds.
    """

    def __init__(self, quotas: Quotas, monotonic: Callable[[], float]) -> None:
        self.quotas = quotas
        self.monotonic = monotonic

    async def take(self, backend: BackendEntry, stated: ProcessStatements) -> Optional[ServerGrant]:
        """Return a grant to send one request; see `ServerQuotas`."""
        rate_per_s = stated.limit.rate_per_s(self.monotonic())
        if rate_per_s is None:
            return UNLIMITED
        quota = server_quota(backend, rate_per_s)
        decision = await self.quotas.take(quota)
        if decision.end is QuotaEnd.ADMITTED:
            return ServerGrant(quota, decision)
        stated.no_token_until = self.monotonic() + max(_MIN_PAUSE_S, decision.ask_again_s)
        return None

    def give_back(self, grant: ServerGrant) -> None:
        """Give back a grant whose request was not sent; see `ServerQuotas`."""
        if grant.quota is not None and grant.decision is not None:
            self.quotas.give_back(grant.quota, grant.decision)


def server_quota(backend: BackendEntry, rate_per_s: float) -> Quota:
    """Return the quota of a server.

    Args:
        backend: The server's entry.
        rate_per_s: Requests a second that it accepts from all VMs together.
    """
    return hall_quota(_quota_name(ServerProcessId.of(backend)), rate_per_s, backend.hall)


def forget_unstated(quotas: FleetQuotas, table: StatementTable) -> None:
    """Drop this VM's usage of the quotas of servers whose statements were dropped.

    What it grants to others from them is kept, as other VMs may know a server that this one does
    not.

    Args:
        quotas: The quotas that this VM keeps.
        table: The known statements of all processes.
    """
    stated = {_quota_name(process) for process in table.rows}
    quotas.forget(lambda name: is_server_quota(name) and name not in stated)


def is_server_quota(name: str) -> bool:
    """Return whether a name is that of a server's quota."""
    return name.startswith(_NAME_PREFIX)


def _quota_name(process: ServerProcessId) -> str:
    return f"{_NAME_PREFIX}{process.server_id}|{process.incarnation}"
