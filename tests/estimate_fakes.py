"""Estimates of backend servers that a test states itself."""

from sprucewinch.gateway.estimates.server_estimate import ServerEstimate, ServerEstimates
from sprucewinch.gateway.resources import BackendEntry

USUAL_WORK_S = 0.3


def estimate(**changes: object) -> ServerEstimate:
    """Return an estimate of an idle server of usual pace, with changes."""
    usual = ServerEstimate("s0", 6, 0.0, 1.0, USUAL_WORK_S, USUAL_WORK_S, True, 0.1)
    return usual._replace(**changes)


class StatedEstimates(ServerEstimates):
    """Returns the stated estimate of each server; the others are idle and of usual pace."""

    def __init__(self) -> None:
        self.by_id: dict[str, ServerEstimate] = {}

    def estimate(
        self, backend: BackendEntry, _route: str, _key: str, _now: float
    ) -> ServerEstimate:
        default = estimate(server_id=backend.id, slots=backend.capacity)
        return self.by_id.get(backend.id, default)
