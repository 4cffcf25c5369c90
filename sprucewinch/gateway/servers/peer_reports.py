"""Reports of VMs to each other about single backend servers: overloads and failures.

A VM of a large fleet sends each server so few requests that it would not learn of either by itself.
Owns the two messages and how they are sent. Relies on `follow_role` for the recipients.
"""

import abc

import msgspec

from ..datagrams import Datagrams
from ..following.follow_role import FollowRole
from ..resources import BackendEntry
from ..statements.statement_report import StatementReport


class OverloadReport(msgspec.Struct, array_like=True, frozen=True, tag="crowded"):
    """The load of an overloaded backend server, as it stated it in an answer to the sender.

    Args:
        server: Id of the server.
        running: Requests that it runs.
        waiting: Requests that wait there.
        incarnation: Incarnation of the server's process; 0 if unknown.
    """

    server: str
    running: int
    waiting: int
    incarnation: int = 0


class FailureReport(msgspec.Struct, array_like=True, frozen=True, tag="bad"):
    """A request failed at a backend server, or took far longer than usual.

    Args:
        server: Id of the server.
        incarnation: Incarnation of the server's process; 0 if unknown.
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
    """Return whether a report is about the process that this VM knows of a server.

    A VM that has not yet learnt of a restart reports on the former process, which must not count
    for the next one. VMs of older versions state no incarnation.
    """
    return not report.incarnation or report.incarnation == (backend.incarnation or 0)


class ReportSender(abc.ABC):
    """Sends reports on backend servers to other VMs."""

    @abc.abstractmethod
    def send_overload(self, report: OverloadReport) -> None:
        """Report the load of an overloaded server."""

    @abc.abstractmethod
    def send_statement(self, report: StatementReport, to_all: bool) -> None:
        """Report what a server states, to all VMs or to those of this region and a few more."""

    @abc.abstractmethod
    def send_failure(self, report: FailureReport) -> None:
        """Report a request that failed at a server or took far longer than usual."""


class PeerReports(ReportSender):
    """Sends reports to other VMs by datagram.

    Args:
        datagrams: The endpoint between VMs.
        follow_role: Chooses the recipients.
    """

    def __init__(self, datagrams: Datagrams, follow_role: FollowRole) -> None:
        self.datagrams = datagrams
        self.follow_role = follow_role

    def send_overload(self, report: OverloadReport) -> None:
        """Report the load of an overloaded server; see `ReportSender`."""
        self._send(report)

    def send_failure(self, report: FailureReport) -> None:
        """Report a failed or slow request; see `ReportSender`."""
        self._send(report)

    def send_statement(self, report: StatementReport, to_all: bool) -> None:
        """Report what a server states; see `ReportSender`."""
        self._send(report, to_all=to_all)

    def _send(self, report: msgspec.Struct, *, to_all: bool = False) -> None:
        recipients = self.follow_role.recipients(changed=to_all)
        self.datagrams.send(report, [member.peer_address for member in recipients])


class NoReports(ReportSender):
    """Sends no reports; used where a part is built without a fleet."""

    def send_overload(self, report: OverloadReport) -> None:
        """Drop a report."""

    def send_failure(self, report: FailureReport) -> None:
        """Drop a report."""

    def send_statement(self, report: StatementReport, to_all: bool) -> None:
        """Drop a report."""
