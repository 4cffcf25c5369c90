"""Policies in force: programs and the choice for each service, as the store holds them."""

from collections.abc import Callable

from ..errors import PolicyError
from ..policy import Policy, ProgramPolicy, shipped_policies
from .beliefs import Beliefs, Change
from .model import PolicyChoice, PolicyProgram

DEFAULT_POLICY = "capacity"
ALL_SERVICES = "*"
"""Name that a choice carries when it is for every service without one of its own."""


class PolicyBook:
    """Programs by name and choices by service.

    A program that cannot be used is reported; the last good one of its name stays in force.

    Args:
        beliefs: What this machine believes.
        trouble: Told of a program that cannot be used, with the cause.
    """

    def __init__(
        self, beliefs: Beliefs, trouble: Callable[[str, str], None] = lambda key, cause: None
    ) -> None:
        shipped = shipped_policies()
        self.trouble = trouble
        self.programs: dict[str, Policy] = {n: ProgramPolicy(n, s) for n, s in shipped.items()}
        self.choices: dict[str, str] = {}
        beliefs.listeners.append(self._learn)

    def name_for(self, service: str) -> str:
        """Return the name of the policy in force for a service."""
        chosen = self.choices.get(service, self.choices.get(ALL_SERVICES, DEFAULT_POLICY))
        return chosen if chosen in self.programs else DEFAULT_POLICY

    def policy_for(self, service: str) -> Policy:
        """Return the policy in force for a service."""
        return self.programs[self.name_for(service)]

    def _learn(self, change: Change) -> None:
        if isinstance(change.after, PolicyProgram):
            self._compile(change.key, change.after)
        elif isinstance(change.after, PolicyChoice):
            self.choices[change.after.service] = change.after.policy
        elif isinstance(change.before, PolicyChoice):
            self.choices.pop(change.before.service, None)

    def _compile(self, key: str, program: PolicyProgram) -> None:
        try:
            self.programs[program.name] = ProgramPolicy(program.name, program.source)
        except PolicyError as error:
            self.trouble(key, str(error))
