"""Sends reports of this VM's region to all VMs while this VM is a store follower of the region.

Owns when a report is made and sent. Relies on `region_reports` for its content and on
`follow_role` for which VM sends it. No report is sent while no policy in force reads measurements.
"""

import asyncio
from collections.abc import Callable
from typing import Optional

from ..datagrams import Datagrams
from ..following.follow_role import FollowRole
from ..membership.gossip import Gossip
from ..state.store_view import StoreView
from ..timing import Timing
from .policies import PolicyTable
from .region_reports import REPORT_INTERVAL_S, RegionReport, RegionReports

Demand = Callable[[str, float], float]
"""Returns the requests a second that callers send to this VM for a service.

Takes the service's name and the monotonic time in seconds.
"""


class RegionReportBuilder:
    """Builds the report of this VM's own region.

    Args:
        policies: Policies in force.
        region_reports: Measures the region's backend servers.
        store_view: Lists the registered VMs.
        gossip: Knows which of them accept callers.
        demand: Returns the demand for a service at this VM.
    """

    def __init__(
        self,
        policies: PolicyTable,
        region_reports: RegionReports,
        store_view: StoreView,
        gossip: Gossip,
        demand: Demand,
    ) -> None:
        self.policies = policies
        self.region_reports = region_reports
        self.store_view = store_view
        self.gossip = gossip
        self.demand = demand

    def report(self, now: float) -> Optional[RegionReport]:
        """Return the report of this VM's region; None while no policy reads measurements.

        The demand of the region is estimated from this VM's own demand and its part of the callers,
        as callers are spread over the region's VMs in proportion to their capacity.

        Args:
            now: Monotonic time, in seconds.
        """
        services = self.region_reports.registry.by_service
        if not self.policies.any_policy_reads_measures(services):
            return None
        factor = self._demand_factor(now)
        return self.region_reports.measure(lambda service: factor * self.demand(service, now), now)

    def _demand_factor(self, now: float) -> float:
        """Return the region's demand as a multiple of this VM's own.

        It is the number of the region's VMs where the capacity of one of them is not known.
        """
        names = [
            member.name
            for member in self.store_view.members.values()
            if member.region == self.region_reports.region
            and self.gossip.accepts_callers(member.name, now)
        ]
        capacities = [self.gossip.requests_per_s_of(name) for name in names]
        own = self.gossip.requests_per_s
        if not own or not all(capacities):
            return float(len(names))
        return sum(capacities) / own


class RegionReporter:
    """Sends reports while this VM is elected to follow the store.

    Args:
        region_reports: Stores all reports, including those of this VM.
        follow_role: Decides whether this VM sends reports, and to which VMs.
        datagrams: The endpoint between VMs.
        timing: Sources of time and randomness.
        own_report: Returns the report to send at a monotonic time, in seconds; None to send none.
    """

    def __init__(
        self,
        region_reports: RegionReports,
        follow_role: FollowRole,
        datagrams: Datagrams,
        timing: Timing,
        *,
        own_report: Callable[[float], Optional[RegionReport]],
    ) -> None:
        self.region_reports = region_reports
        self.follow_role = follow_role
        self.datagrams = datagrams
        self.timing = timing
        self.own_report = own_report
        datagrams.register(RegionReport, region_reports.on_region_report)

    async def run(self) -> None:
        """Send a report at regular intervals while this VM is elected to follow the store."""
        while True:
            await asyncio.sleep(self.timing.jittered(REPORT_INTERVAL_S))
            now = self.timing.monotonic()
            report = self.own_report(now) if self.follow_role.is_elected(now) else None
            if report is not None:
                self._send(report, now)

    def _send(self, report: RegionReport, now: float) -> None:
        self.region_reports.on_region_report(report, now)
        recipients = self.follow_role.recipients(changed=True)
        self.datagrams.send(report, [member.peer_address for member in recipients])
