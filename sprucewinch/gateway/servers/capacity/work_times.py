"""How long work of each kind usually takes at a server of usual pace, on warm and on cold objects.

A kind is a route. Each answer gives a sample: its time less the part spent in the server's queue,
divided by the pace that the server states with it. `work_split` finds the usual times of the last
`_MAX_SAMPLES` samples of a kind; it uses medians, because 3 in 100 requests take seven times as
long as others at any server. A pace that changed while the server worked makes a sample wrong, so
an answer with an unusual pace is used only after `_MAX_SKIPPED` others in a row.

Until a kind has `_MIN_SAMPLES`, the usual time of its service is used, and until that is known, 0.
The usual time on a cold object is unknown while nearly all answers come from warm ones: then the
ratio of both that was found last for this kind counts, and before one was found,
`_DEFAULT_COLD_RATIO`, the ratio for which the fleet is planned. A route whose requests gain nothing
from a warm object has no cold time.

The work of the requests that wait at a server is their mean and not a median, as those behind them
wait for all of it, the long ones included.

Owns the samples by kind and service; inputs are answers' times and paces, and the routes of the
configuration. Shows in `answer_s` of the estimates. Tests: `test_gateway_work_times`.
"""

from collections import deque
from typing import Optional

from ...resources import RouteConfiguration
from .work_split import split_work

_MAX_SAMPLES = 128
"""Samples of a kind that are kept: those of the last 10 to 30 seconds of a VM with common load."""

_MIN_SAMPLES = 20
"""Samples that are needed before their usual time is used."""

_REFRESH_FRACTION = 0.25
"""New samples, as a part of those kept, after which the usual time is computed anew."""

_DEFAULT_COLD_RATIO = 3.0
"""Ratio of the usual times on cold and warm objects until one has been found."""

_USUAL_PACES = (0.8, 1.25)
"""Smallest and largest pace of an answer whose pace is taken for usual."""

_MAX_SKIPPED = 8
"""Answers with an unusual pace in a row that are left out; more show that it is the usual one."""

_MAX_MEAN_RATIO = 20.0
"""Largest ratio of a sample in the mean to the median: seven times the work on a cold object. An
answer that took longer still was held up by something else than work."""


def work_without_queue_s(seconds: float, slots: int, held: int) -> float:
    """Return the part of an answer's time that the server worked on it, in seconds.

    Args:
        seconds: Time that the answer took, in seconds.
        slots: Requests that the server works on at once.
        held: Requests that it held when it answered, as it states; 0 if it states none.
    """
    return seconds * slots / max(slots, held, 1)


class WorkSamples:
    """The last samples of one kind or service, and the usual times that follow from them."""

    __slots__ = ("_new", "_samples", "_skipped", "cold_ratio", "cold_s", "mean_s", "warm_s")

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=_MAX_SAMPLES)
        self._new = 0
        self._skipped = 0
        self.warm_s = 0.0
        self.cold_s = 0.0
        self.mean_s = 0.0
        self.cold_ratio = _DEFAULT_COLD_RATIO

    @property
    def known(self) -> bool:
        """Return whether there are enough samples."""
        return self.warm_s > 0.0

    def record(self, work_s: float, pace: float) -> None:
        """Record a sample.

        Args:
            work_s: Time of the work at the pace of the server, in seconds.
            pace: The server's stated pace; 1.0 if it states none.
        """
        if work_s <= 0.0:
            return
        if _USUAL_PACES[0] <= pace <= _USUAL_PACES[1]:
            self._skipped = 0
        elif self._skipped < _MAX_SKIPPED:
            self._skipped += 1
            return
        self._samples.append(work_s / pace)
        self._new += 1
        count = len(self._samples)
        if count >= _MIN_SAMPLES and self._new >= _REFRESH_FRACTION * count:
            self._refresh()

    def _refresh(self) -> None:
        self._new = 0
        split = split_work(self._samples)
        if split.cold_s is not None:
            self.cold_ratio = split.cold_s / split.warm_s
        self.warm_s = split.warm_s
        self.cold_s = split.warm_s * self.cold_ratio
        longest = _MAX_MEAN_RATIO * split.warm_s
        self.mean_s = sum(min(longest, s) for s in self._samples) / len(self._samples)


class WorkTimes:
    """Usual times of work by route and by service, in seconds."""

    def __init__(self) -> None:
        self.by_route: dict[str, WorkSamples] = {}
        self.by_service: dict[str, WorkSamples] = {}
        self._warmth_counts: frozenset[str] = frozenset()

    def set_routes(self, configuration: RouteConfiguration) -> None:
        """Follow a configuration: forget routes that are gone, and whether warm objects count."""
        routes = configuration.routes
        names = {route.name for route in routes}
        self._warmth_counts = frozenset(route.name for route in routes if route.affinity)
        self.by_route = {name: each for name, each in self.by_route.items() if name in names}

    def record(self, route: str, service: str, work_s: float, pace: Optional[float]) -> None:
        """Record the work of an answer that a server itself gave while it was not cold.

        Args:
            route: Name of the request's route.
            service: The service that answered.
            work_s: Time of the answer less the part spent in the queue, in seconds.
            pace: The pace that the server stated with it; None if it stated none.
        """
        known_pace = 1.0 if pace is None else pace
        self.by_route.setdefault(route, WorkSamples()).record(work_s, known_pace)
        self.by_service.setdefault(service, WorkSamples()).record(work_s, known_pace)

    def warmth_counts(self, route: str) -> bool:
        """Return whether requests of a route are answered sooner where their object is warm."""
        return route in self._warmth_counts

    def usual_s(self, route: str, service: str, *, warm: bool) -> float:
        """Return the usual work of a request at a server of usual pace; 0 if not known.

        Args:
            route: Name of its route.
            service: Its service.
            warm: True if its object is expected to be warm there.
        """
        samples = self.by_route.get(route)
        if samples is None or not samples.known:
            samples = self.by_service.get(service)
        if samples is None:
            return 0.0
        return samples.warm_s if warm or not self.warmth_counts(route) else samples.cold_s

    def queued_s(self, service: str) -> float:
        """Return the usual work of the requests that a service's servers hold; 0 if not known."""
        samples = self.by_service.get(service)
        return samples.mean_s if samples is not None else 0.0
