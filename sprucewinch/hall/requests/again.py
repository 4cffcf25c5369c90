"""Whether a request that came back without an answer may be sent once more."""

from ...net.outcome import Outcome, Reason
from ...net.request import Request
from ...retry import TokenRetryBudget
from ..node import Node
from .backend import Attempt

_ELSEWHERE = (Reason.NO_ROOM, Reason.NO_BACKEND_SERVER, Reason.BACKEND_FAILED, Reason.LEAVING)
"""Reasons for which another backend server or data hall may still run the request."""


class Again:
    """Allows repeats: always when it is certain that nothing ran, else within a budget.

    Args:
        node: This VM's view.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.budgets: dict[str, TokenRetryBudget] = {}

    def allowed(self, attempt: Attempt, request: Request) -> bool:
        """Tell whether a request may be sent again after an attempt."""
        refusal = attempt.refusal
        if refusal is None or not request.body.replayable:
            return False
        if refusal.outcome is Outcome.UNKNOWN:
            return self._repeatable(request) and self._budget(request.service).take()
        return refusal.reason in _ELSEWHERE

    def succeeded(self, service: str) -> None:
        """Note a request of a service that was answered."""
        self._budget(service).succeeded()

    def _repeatable(self, request: Request) -> bool:
        topology = self.node.topology
        return topology is not None and topology.services[request.service].repeatable

    def _budget(self, service: str) -> TokenRetryBudget:
        return self.budgets.setdefault(service, TokenRetryBudget())
