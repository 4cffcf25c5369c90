"""Retries: decides whether a request without an answer is sent again.

The decision needs the last attempt, whether the body can be sent again from its start, whether the
service is repeatable, and the retry budget of the service. A request that certainly did not run is
retried when its refusal concerns only one backend server, data hall or VM. A request that may have
run is retried only if the service is repeatable, and only within the budget.

The retry of a request that did not run cannot run it twice. The retry of one that may have run adds
load at a time when servers fail, so the budget limits such retries to a fraction of the successful
requests. Its ratio and cap are constants of `retry.TokenRetryBudget`; this module has none.

No log line is written for a request. A refusal that is not retried is counted by its reason in
`Metrics.refusals`. Tested by `tests.test_retry` and `tests.test_process_requests`.
"""

from ...net.outcome import Outcome, Reason
from ...net.request import Request
from ...retry import TokenRetryBudget
from ..node import Node
from .backend import Attempt

_RETRYABLE_REASONS = (
    Reason.NO_ROOM,
    Reason.NO_BACKEND_SERVER,
    Reason.BACKEND_FAILED,
    Reason.LEAVING,
)
"""Reasons of refusals after which another backend server or data hall may still run a request."""


class RetryRule:
    """Allows retries: within a budget for requests that may have run, else by the refusal's reason.

    Args:
        node: This VM's state.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.budgets: dict[str, TokenRetryBudget] = {}

    def allowed(self, attempt: Attempt, request: Request) -> bool:
        """Return whether a request may be retried after an attempt; may take from the budget."""
        refusal = attempt.refusal
        if refusal is None or not request.body.replayable:
            return False
        if refusal.outcome is Outcome.UNKNOWN:
            return self._repeatable(request) and self._budget(request.service).take()
        return refusal.reason in _RETRYABLE_REASONS

    def record_success(self, service: str) -> None:
        """Record that a request of a service was answered, which adds to the service's budget."""
        self._budget(service).record_success()

    def _repeatable(self, request: Request) -> bool:
        topology = self.node.topology
        return topology is not None and topology.services[request.service].repeatable

    def _budget(self, service: str) -> TokenRetryBudget:
        return self.budgets.setdefault(service, TokenRetryBudget())
