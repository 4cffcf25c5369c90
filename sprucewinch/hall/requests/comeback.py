"""The filter that tells refused callers when to come back."""

from ...clock import Clock
from ...net.outcome import Outcome, Refusal
from ...net.request import Request
from ...retry import ComeBack
from ..node import Node

_SLOT_S = 0.02


class ReturnTimes:
    """Spreads refused callers over the rate at which slots become free.

    Args:
        node: This VM's view.
        clock: Source of time.
    """

    def __init__(self, node: Node, clock: Clock) -> None:
        self.node = node
        self.clock = clock
        self.come_backs: dict[str, ComeBack] = {}

    def stamp(self, request: Request, refusal: Refusal) -> Refusal:
        """Say when to come back, where that can help."""
        if refusal.outcome is Outcome.UNKNOWN or refusal.retry_after_ms:
            return refusal
        now = self.clock.monotonic()
        admission = self.node.hall.find(request.service)
        capacity = admission.capacity(now) if admission else 0
        latency = admission.latency_ms() if admission else None
        rate = capacity / ((latency or _SLOT_S * 1000) / 1000)
        come_back = self.come_backs.setdefault(request.service, ComeBack(self.node.rng))
        return refusal._replace(retry_after_ms=come_back.retry_after_ms(now, rate))
