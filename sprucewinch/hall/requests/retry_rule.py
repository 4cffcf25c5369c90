"""The rule on repeats: whether a request without an answer is sent once more.

Inputs: the last attempt, whether the body can be sent again from its start, whether the service
is repeatable, and the service's retry budget.
The rule: a request that certainly did not run is sent again when its refusal concerns one backend
server, one data hall or one VM only. A request that may have run is sent again only for a
repeatable service, and only within the budget.
Why: a repeat of a request that did not run cannot run it twice. A repeat of one that may have run
adds load just when servers fail, so a part of the successes bounds these repeats.
Constants: the ratio and the cap of `retry.TokenRetryBudget`; this module has none.
Where it shows: no line is written for a request; a refusal that is not repeated is counted by its
reason in `Metrics.refusals`.
Tests: `tests.test_retry`, `tests.test_process_requests`.
"""

from ...net.outcome import Outcome, Reason
from ...net.request import Request
from ...retry import TokenRetryBudget
from ..node import Node
from .backend import Attempt

_REPEATABLE_REASONS = (
    Reason.NO_ROOM,
    Reason.NO_BACKEND_SERVER,
    Reason.BACKEND_FAILED,
    Reason.LEAVING,
)
"""Reasons for which another backend server or data hall may still run the request."""


class RetryRule:
    """Allows repeats: always when it is certain that nothing ran, else within a budget.

    Args:
        node: This VM's state.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.budgets: dict[str, TokenRetryBudget] = {}

    def allowed(self, attempt: Attempt, request: Request) -> bool:
        """Return whether a request may be sent again after an attempt; may take from the budget."""
        refusal = attempt.refusal
        if refusal is None or not request.body.replayable:
            return False
        if refusal.outcome is Outcome.UNKNOWN:
            return self._repeatable(request) and self._budget(request.service).take()
        return refusal.reason in _REPEATABLE_REASONS

    def succeeded(self, service: str) -> None:
        """Record a request of a service that was answered; it adds to the service's budget."""
        self._budget(service).succeeded()

    def _repeatable(self, request: Request) -> bool:
        topology = self.node.topology
        return topology is not None and topology.services[request.service].repeatable

    def _budget(self, service: str) -> TokenRetryBudget:
        return self.budgets.setdefault(service, TokenRetryBudget())
