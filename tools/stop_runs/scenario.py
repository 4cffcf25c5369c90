"""The scenarios of a stop: when requests are sent, in which form, and how long they take.

Owns the scenarios by name. Times are in seconds, counted from the signal to stop.
"""

from typing import NamedTuple


class Scenario(NamedTuple):
    """What callers do while a VM stops.

    Args:
        work_s: Time that a server works on a request.
        first_s: When the first request is sent.
        last_s: When the last one is sent.
        step_s: Time between two requests.
        body_after_s: Pauses, in turn, between the head of a request and the rest of its body; empty
            to send it at once.
        timeout_s: Timeout of the route.
        kept: True to send each on a connection that was opened before the signal.
        answer_bytes: Size of an answer's body.
        read_until_s: When a caller has read the last byte of its answer, at an even pace; None to
            read at once.
        cold_part: Part of the servers that take twice as long.
    """

    work_s: float
    first_s: float = 1.5
    last_s: float = 3.35
    step_s: float = 0.05
    body_after_s: tuple[float, ...] = ()
    timeout_s: float = 3.0
    kept: bool = False
    answer_bytes: int = 100
    read_until_s: float | None = None
    cold_part: float = 0.0

    def sent_at(self) -> list[float]:
        """Return when each request is sent."""
        count = round((self.last_s - self.first_s) / self.step_s) + 1
        return [self.first_s + number * self.step_s for number in range(count)]

    def body_pause_s(self, number: int) -> float:
        """Return the pause between head and body of a request."""
        return self.body_after_s[number % len(self.body_after_s)] if self.body_after_s else 0.0


_SLOW_BODIES = Scenario(
    2.0, first_s=2.45, last_s=2.94, step_s=0.035, body_after_s=(0.2, 0.35, 0.5, 0.7, 0.9)
)

SCENARIOS = {
    "work-1.6": Scenario(1.6),
    "work-2.2": Scenario(2.2),
    "work-2.5": Scenario(2.5),
    "work-2.9": Scenario(2.9),
    "timeout-2": Scenario(1.9, timeout_s=2.0),
    "cold": Scenario(1.6, cold_part=0.5),
    "slow-bodies-2.0": _SLOW_BODIES,
    "slow-bodies-2.5": _SLOW_BODIES._replace(work_s=2.5),
    "kept": Scenario(1.6, first_s=2.4, last_s=3.85, kept=True),
    "many-held": Scenario(9.0, first_s=2.3, last_s=2.85, step_s=0.0025),
    "downloads": Scenario(
        0.3, first_s=0.5, last_s=1.4, step_s=0.1, answer_bytes=500_000, read_until_s=5.85
    ),
}
"""The scenarios by name."""
