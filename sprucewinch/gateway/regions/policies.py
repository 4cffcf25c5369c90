"""Rule: which policy steers a service.

Question: the program that turns measures into wanted shares of regions. Owns the compiled programs
and the choices, both from the store. Relies on `steering.policy` to compile and run programs, and
on `StoreView` for changes.

Inputs: programs and choices of the store, the default policy of the settings. Rule: the service's
own choice, else the choice for all services (`*`), else the default; a choice of a program that is
not there counts as none, as there is nothing to run. A program that cannot be compiled leaves the
last good one of its name in force.

Constants: `DEFAULT_POLICY`, `ALL_SERVICES`, `_MEASURED`. The result shows as `policy` of a service
on `/state`; a program that cannot be used shows in the event `unreadable`. Tests:
`test_gateway_policies`, `test_gateway_region_reports`.
"""

from collections.abc import Callable

from ...errors import PolicyError, SettingsError
from ...steering.policy import Policy, ProgramPolicy, shipped_policies
from ..resources import PolicyChoice, PolicyProgram
from ..state.store_view import Change, StoreView

DEFAULT_POLICY = "capacity"
"""Shipped policy of services without a choice: it reads the slots alone, so no reports are sent."""

_MEASURED = ("in_use", "headroom", "latency_ms", "demand_per_s")
"""Fields of a snapshot that have to be measured."""

ALL_SERVICES = "*"
"""Name that a choice carries when it is for every service without one of its own."""


class PolicyTable:
    """Programs by name and choices by service.

    A program that cannot be used is reported; the last good one of its name stays in force.

    Args:
        store_view: What this VM holds of the store.
        on_unreadable: Called with the key of a program that cannot be used and the cause.
        default: Shipped policy of services without a choice.

    Raises:
        SettingsError: When no policy of that name is shipped.
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
                f"no policy {default!r} is shipped", f"name one of {', '.join(shipped)}"
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

    @property
    def reads_measures_anywhere(self) -> bool:
        """Return whether a policy that may be in force reads measures of load or latency."""
        names = {self.default, *self.choices.values()}
        programs = (self.programs[name] for name in names if name in self.programs)
        return any(reads_measures(program) for program in programs)

    def service_reads_measures(self, service: str) -> bool:
        """Return whether the policy in force for a service reads measures."""
        return reads_measures(self.policy_for(service))

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


def reads_measures(policy: Policy) -> bool:
    """Return whether a program names a field that has to be measured."""
    return isinstance(policy, ProgramPolicy) and any(name in policy.source for name in _MEASURED)
