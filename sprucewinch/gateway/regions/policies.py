"""Selects the steering policy of each service.

A policy is a program that turns measurements into wanted shares of the regions. `PolicyTable` owns
the compiled programs and the operators' choices, both read from the store. It relies on
`steering.policy` to compile and run programs, and on `StoreView` for changes. Its inputs are the
programs and choices in the store and the default policy of the settings.

The choice for the service itself applies, otherwise the choice for all services (`*`), otherwise
the default. A choice that names a program that does not exist is treated as if there were no
choice, as there is nothing to run. If a program cannot be compiled, the last valid one of its name
stays in force.

The constants are `DEFAULT_POLICY`, `ALL_SERVICES` and `_MEASURED_FIELDS`. `/state` shows the result
as `policy` of a service; the event `unreadable` names a program that cannot be used. Tests:
`test_gateway_policies`, `test_gateway_region_reports`, `test_demand_policy`.
"""

from collections.abc import Callable, Iterable

from ...errors import PolicyError, SettingsError
from ...steering.policy import Policy, ProgramPolicy, shipped_policies
from ..resources import PolicyChoice, PolicyProgram
from ..state.store_view import Change, StoreView

DEFAULT_POLICY = "capacity"
"""Shipped policy of services without a choice; it reads only slots, so no reports are needed."""

_MEASURED_FIELDS = ("in_use", "headroom", "latency_ms", "demand_per_s")
"""Fields of a snapshot whose values come from measurements."""

ALL_SERVICES = "*"
"""Service name in a choice that applies to every service without its own choice."""


class PolicyTable:
    """Programs by name and choices by service.

    A program that cannot be used is reported; the last valid one of its name stays in force.

    Args:
        store_view: This VM's copy of the store.
        on_unreadable: Called with the key of a program that cannot be used and the cause.
        default: Shipped policy of services without a choice.

    Raises:
        SettingsError: If no policy of that name is shipped.
    """

    def __init__(
        self,
        store_view: StoreView,
        on_unreadable: Callable[[str, str], None] = lambda _key, _cause: None,
        *,
        default: str = DEFAULT_POLICY,
    ) -> None:
        shipped = shipped_policies()
        if default not in shipped:
            raise SettingsError(
                f"unknown default policy: found {default!r}, expected a shipped policy",
                f"name one of {', '.join(shipped)}",
            )
        self.on_unreadable = on_unreadable
        self.default = default
        self.programs: dict[str, Policy] = {n: ProgramPolicy(n, s) for n, s in shipped.items()}
        self.choices: dict[str, str] = {}
        store_view.listeners.append(self._on_change)

    def name_for(self, service: str) -> str:
        """Return the name of the policy in force for a service."""
        chosen = self.choices.get(service, self.choices.get(ALL_SERVICES, self.default))
        return chosen if chosen in self.programs else self.default

    def policy_for(self, service: str) -> Policy:
        """Return the policy in force for a service."""
        return self.programs[self.name_for(service)]

    def any_policy_reads_measures(self, services: Iterable[str]) -> bool:
        """Return whether a policy in force reads measurements of load, latency or demand.

        Args:
            services: Names of the services.
        """
        return any(self.service_reads_measures(service) for service in services)

    def service_reads_measures(self, service: str) -> bool:
        """Return whether the policy in force for a service reads measurements."""
        return _reads_measures(self.policy_for(service))

    def _on_change(self, change: Change) -> None:
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
            self.on_unreadable(key, str(error))


def _reads_measures(policy: Policy) -> bool:
    """Return whether a program names a field whose values come from measurements."""
    return isinstance(policy, ProgramPolicy) and any(
        name in policy.source for name in _MEASURED_FIELDS
    )
