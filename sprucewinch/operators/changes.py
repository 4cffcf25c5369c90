"""Changes that operators make to the configuration document.

Each change is a pure function from one document to the next and refuses documents that it does not
fit: a policy in use is not removed, a service names a known policy, a drain names a backend server,
data hall or region that exists. A change sets neither the revision nor the audit trail; `writer`
adds both, and may apply the same change again to a newer document. The module does no I/O.
"""

import abc

import msgspec

from ..config.configuration import Configuration, Document, DrainKind, Policy, drain_key
from ..errors import ConfigurationError
from ..steering.policy import check_program, shipped_policies


class Change(abc.ABC):
    """One change to the configuration document, requested by an operator."""

    action: str
    """Kind of change, as the audit trail records it."""

    replaces_all = False
    """True when the change would overwrite a newer change of another operator, so that it needs the
    revision that it was edited from."""

    @abc.abstractmethod
    def detail(self) -> str:
        """Return what is changed, on one line, for the audit trail."""

    @abc.abstractmethod
    def apply(self, document: Document) -> Document:
        """Return the changed document; the writer sets revision and audit trail.

        Raises:
            ConfigurationError: When the change does not fit this document.
            PolicyError: When a policy program fails its check.
        """


class ApplyConfiguration(Change):
    """Replace the whole configuration; loaded policies and drains are kept.

    Args:
        configuration: The new configuration, already validated.
    """

    action = "apply"
    replaces_all = True

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration

    def detail(self) -> str:
        """Return the configuration's name and how many regions, halls and servers it has."""
        c = self.configuration
        servers = sum(len(pool.servers) for pool in c.pool)
        return f"{c.name}: {len(c.region)} regions, {len(c.hall)} data halls, {servers} servers"

    def apply(self, document: Document) -> Document:
        """Replace the configuration if every policy that its services name is shipped or loaded."""
        known = _policy_names(document)
        for service in self.configuration.service:
            if service.policy not in known:
                raise ConfigurationError(
                    f"service {service.name}: policy {service.policy!r} is not loaded",
                    f"load the policy first, or name one of: {', '.join(sorted(known))}",
                )
        return msgspec.structs.replace(document, configuration=self.configuration)


class LoadPolicy(Change):
    """Load a policy program, or replace the loaded one of the same name.

    Args:
        name: Name of the policy.
        source: Source text of the program.
    """

    action = "policy-load"

    def __init__(self, name: str, source: str) -> None:
        self.name = name
        self.source = source

    def detail(self) -> str:
        """Return the policy's name."""
        return self.name

    def apply(self, document: Document) -> Document:
        """Add the program if `check_program` accepts it on trial snapshots of these regions."""
        if not self.name.replace("-", "").replace("_", "").isalnum():
            raise ConfigurationError(
                f"invalid policy name {self.name!r}", "use only letters, digits, - and _"
            )
        if self.name in shipped_policies():
            raise ConfigurationError(
                f"policy {self.name} is shipped with sprucewinch and cannot be replaced",
                "load the program under another name",
            )
        regions = tuple(region.name for region in document.configuration.region)
        check_program(self.name, self.source, regions)
        others = tuple(p for p in document.policies if p.name != self.name)
        loaded = (*others, Policy(self.name, self.source))
        return msgspec.structs.replace(document, policies=loaded)


class RetirePolicy(Change):
    """Remove a loaded policy program.

    Args:
        name: Name of the policy.
    """

    action = "policy-retire"

    def __init__(self, name: str) -> None:
        self.name = name

    def detail(self) -> str:
        """Return the policy's name."""
        return self.name

    def apply(self, document: Document) -> Document:
        """Remove the program unless a service uses it."""
        users = [s.name for s in document.configuration.service if s.policy == self.name]
        if users:
            raise ConfigurationError(
                f"policy {self.name} is in use by {', '.join(users)}",
                "assign another policy to those services first",
            )
        remaining = tuple(p for p in document.policies if p.name != self.name)
        if len(remaining) == len(document.policies):
            raise ConfigurationError(
                f"no loaded policy {self.name!r}", "list them with: sprucewinch policy list"
            )
        return msgspec.structs.replace(document, policies=remaining)


class UsePolicy(Change):
    """Assign a policy to a service.

    Args:
        service: Name of the service.
        policy: Name of a shipped or loaded policy.
    """

    action = "policy-use"

    def __init__(self, service: str, policy: str) -> None:
        self.service = service
        self.policy = policy

    def detail(self) -> str:
        """Return the names of the service and the policy."""
        return f"{self.service} {self.policy}"

    def apply(self, document: Document) -> Document:
        """Replace the service's policy."""
        known = _policy_names(document)
        if self.policy not in known:
            raise ConfigurationError(
                f"no policy {self.policy!r}", f"name one of: {', '.join(sorted(known))}"
            )
        services = document.configuration.service
        if self.service not in {service.name for service in services}:
            names = ", ".join(service.name for service in services)
            raise ConfigurationError(f"no service {self.service!r}", f"name one of: {names}")
        changed = tuple(
            msgspec.structs.replace(s, policy=self.policy) if s.name == self.service else s
            for s in services
        )
        configuration = msgspec.structs.replace(document.configuration, service=changed)
        return msgspec.structs.replace(document, configuration=configuration)


class Drain(Change):
    """Start or end the drain of a backend server, data hall or region.

    Args:
        kind: What is drained: `server`, `hall` or `region`.
        name: Address of the server, or name of the hall or region.
        undo: End the drain instead of starting it.
    """

    def __init__(self, kind: DrainKind, name: str, *, undo: bool = False) -> None:
        self.kind = kind
        self.name = name
        self.undo = undo
        self.action = "undrain" if undo else "drain"

    def detail(self) -> str:
        """Return the kind and the name of what is drained."""
        return f"{self.kind} {self.name}"

    def apply(self, document: Document) -> Document:
        """Add or remove the drain."""
        known = _drainable_names(document.configuration, self.kind)
        if self.name not in known:
            raise ConfigurationError(
                f"no {self.kind} {self.name!r}", f"name one of: {', '.join(sorted(known))}"
            )
        key = drain_key(self.kind, self.name)
        if self.undo != (key in document.drained):
            state = "not draining" if self.undo else "draining already"
            raise ConfigurationError(f"{self.kind} {self.name} is {state}", "no change is needed")
        others = tuple(d for d in document.drained if d != key)
        return msgspec.structs.replace(document, drained=others if self.undo else (*others, key))


def _policy_names(document: Document) -> set[str]:
    return {*shipped_policies(), *(policy.name for policy in document.policies)}


def _drainable_names(configuration: Configuration, kind: DrainKind) -> set[str]:
    if kind == "server":
        return {server for pool in configuration.pool for server in pool.servers}
    if kind == "hall":
        return {hall.name for hall in configuration.hall}
    return {region.name for region in configuration.region}
