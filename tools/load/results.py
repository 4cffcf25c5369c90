"""Types of the flows that a load consists of and of the results of its requests.

The other modules of the folder and the demo share them.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Flow:
    """A flow of like requests to one service, with Poisson arrivals.

    Args:
        service: Name of the service.
        per_s: Mean rate of each client region, in requests a second.
        method: HTTP method.
        path: Path at the backend server.
        body_bytes: Size of the body, in bytes.
        query: Query string for the stand-in, with its question mark.
    """

    service: str
    per_s: float
    method: str = "GET"
    path: str = "run"
    body_bytes: int = 0
    query: str = ""


@dataclass(slots=True)
class Result:
    """Result of one request.

    Args:
        service: Name of the service.
        operation: Unique id under which the backend servers record its runs.
        client_region: Region of the caller.
        outcome: `answered`, `not-run`, `unknown`, `wrong` or `lost`.
        reason: Reason of a refusal.
        latency_ms: Time from the planned arrival to the end of the answer, with all retries.
        at: Planned arrival, in seconds after the start.
        region: Region of the entry VM.
        hall: Data hall that answered, as its header states.
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
    """Return a quantile of values by the nearest-rank method; 0.0 for an empty list."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]
