"""The load that this VM reports to others: slots, latency and demand of each service.

`LoadReport` owns the rate of arrivals by service and client region. It takes slots and latency from
the admissions, and records each service's headroom in the metrics.
"""

from collections.abc import Callable

from .metrics import Label, Metrics, RateMeter
from .peers.peer_pb2 import ServiceLoad
from .requests.admission import Admission
from .requests.admissions import HallAdmissions

_NO_LATENCY_MS = -1.0
"""Value of `ServiceLoad.latency_ms` when there is no measurement."""


class LoadReport:
    """Measures the load of each service at this VM.

    Args:
        admissions: Admissions of this VM.
        metrics: Records each service's headroom.
        label: Returns the label of a service's metrics.
    """

    def __init__(
        self, admissions: HallAdmissions, metrics: Metrics, label: Callable[[str], Label]
    ) -> None:
        self.admissions = admissions
        self.metrics = metrics
        self.label = label
        self.arrivals: dict[tuple[str, str], RateMeter] = {}

    def arrived(self, service: str, client_region: str) -> None:
        """Count a caller's request that arrived here."""
        key = (service, client_region)
        meter = self.arrivals.get(key)
        if meter is None:
            meter = self.arrivals[key] = RateMeter()
        meter.count += 1

    def tick(self, elapsed_s: float) -> None:
        """Update the rates of arrivals.

        Args:
            elapsed_s: Time since the last tick, in seconds.
        """
        for meter in self.arrivals.values():
            meter.tick(elapsed_s)

    def loads(self, now: float) -> list[ServiceLoad]:
        """Return the load of each service, and record each service's headroom.

        Args:
            now: Monotonic time, in seconds.
        """
        loads = {
            service: self._load(service, admission, now)
            for service, admission in self.admissions.by_service.items()
        }
        for (service, client_region), meter in self.arrivals.items():
            no_slots = ServiceLoad(service=service, latency_ms=_NO_LATENCY_MS)
            load = loads.setdefault(service, no_slots)
            load.demand[client_region] = meter.per_s
        return list(loads.values())

    def _load(self, service: str, admission: Admission, now: float) -> ServiceLoad:
        capacity, in_use = admission.capacity(now), admission.in_use()
        if capacity:
            self.metrics.record_headroom(self.label(service), max(0.0, 1.0 - in_use / capacity))
        latency_ms = admission.latency_ms()
        return ServiceLoad(
            service=service,
            capacity=capacity,
            in_use=in_use,
            latency_ms=_NO_LATENCY_MS if latency_ms is None else latency_ms,
        )
