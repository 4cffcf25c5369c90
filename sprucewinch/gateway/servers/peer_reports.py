"""What VMs report to each other about single backend servers: overload and failures.

Owns the two messages and their sending. Relies on `follow_role` for the recipients. A VM of a large
fleet sends each server so few requests that it would not learn of either by itself.
"""

import abc

import msgspec

from ..datagrams import Datagrams
from ..following.follow_role import FollowRole
from ..resources import BackendEntry
from ..statements.statement_report import StatementReport


class OverloadReport(msgspec.Struct, array_like=True, frozen=True, tag="crowded"):
    """A backend server's load, as its answer to this VM reports it, while requests wait there.

    Args:
        server: Id of the server.
        running: Requests that it runs.
        waiting: Requests that wait there.
        incarnation: Which process of the server it is; 0 when that is not known.
    """

    server: str
    running: int
    waiting: int
    incarnation: int = 0


class FailureReport(msgspec.Struct, array_like=True, frozen=True, tag="bad"):
    """A request failed at a backend server, or took far longer than usual.

    Args:
        server: Id of the server.
        incarnation: Which process of the server it is; 0 when that is not known.
    """

    server: str
    incarnation: int = 0


def overload_report(backend: BackendEntry, running: int, waiting: int) -> OverloadReport:
    """Return the report on a server's load; see `OverloadReport`."""
    return OverloadReport(backend.id, running, waiting, backend.incarnation or 0)


def failure_report(backend: BackendEntry) -> FailureReport:
    """Return the report on a failure at a server."""
    return FailureReport(backend.id, backend.incarnation or 0)


def names_process(report: OverloadReport | FailureReport, backend: BackendEntry) -> bool:
    """Return whether a report is on the process that this VM holds of a server.

    A VM that has not yet learnt of a restart reports what it saw of the process before, which the
    next one must not answer for. VMs of older versions name no process.
    """
    return not report.incarnation or report.incarnation == (backend.incarnation or 0)


class ReportSender(abc.ABC):
    """Sends reports on backend servers to other VMs."""

    @abc.abstractmethod
    def send_overload(self, report: OverloadReport) -> None:
        """Report that requests wait at a server."""

    @abc.abstractmethod
    def send_statement(self, report: StatementReport, to_all: bool) -> None:
        """Report what a server states; to all VMs, or to this region's and a few more."""

    @abc.abstractmethod
    def send_failure(self, report: FailureReport) -> None:
        """Report a request that failed at a server or took long."""


class PeerReports(ReportSender):
    """Sends reports by datagram.

    Args:
        datagrams: The endpoint between VMs.
        follow_role: Chooses the recipients.
    """

    def __init__(self, datagrams: Datagrams, follow_role: FollowRole) -> None:
        self.datagrams = datagrams
        self.follow_role = follow_role

    def send_overload(self, report: OverloadReport) -> None:
        """Report that requests wait at a server."""
        self._send(report)

    def send_failure(self, report: FailureReport) -> None:
        """Report a request that failed at a server or took long."""
        self._send(report)

    def send_statement(self, report: StatementReport, to_all: bool) -> None:
        """Report what a server states."""
        self._send(report, to_all=to_all)

    def _send(self, report: msgspec.Struct, *, to_all: bool = False) -> None:
        recipients = self.follow_role.recipients(changed=to_all)
        self.datagrams.send(report, [member.peer_address for member in recipients])


class NoReports(ReportSender):
    """Sends nothing; for a part that is built alone."""

    def send_overload(self, report: OverloadReport) -> None:
        """Drop a report."""

    def send_failure(self, report: FailureReport) -> None:
        """Drop a report."""

    def send_statement(self, report: StatementReport, to_all: bool) -> None:
        """Drop a report."""
