"""What load consists of and what became of it.

Owns the types of flows and results, which the other modules of the folder and the demo share.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Flow:
    """Requests of one service.

    Args:
        service: Service.
        per_s: Mean requests a second of each client region.
        method: HTTP method.
        path: Path at the backend server.
        body_bytes: Size of the body.
        query: Query for the stand-in.
    """

    service: str
    per_s: float
    method: str = "GET"
    path: str = "run"
    body_bytes: int = 0
    query: str = ""


@dataclass(slots=True)
class Result:
    """What became of one request.

    Args:
        service: Service.
        operation: Its name at the backend servers.
        client_region: Region of the caller.
        outcome: `answered`, `not-run`, `unknown`, `wrong` or `lost`.
        reason: Reason of a refusal.
        latency_ms: From the planned arrival to the end of the answer, come-backs included.
        at: Planned arrival, seconds after the start.
        region: Region of the entry VM.
        hall: Data hall that answered, as the answer says.
    """

    service: str
    operation: str
    client_region: str
    outcome: str
    reason: str = ""
    latency_ms: float = 0.0
    at: float = 0.0
    region: str = ""
    hall: str = ""


def quantile(values: list[float], part: float) -> float:
    """Return a quantile of values by the nearest rank; 0 of none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
