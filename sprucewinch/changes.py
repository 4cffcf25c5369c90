"""Changes of the configuration by operators: pure steps, and their safe writing."""

import abc
import enum
import uuid
from collections.abc import Callable
from typing import NamedTuple, Optional

import msgspec

from .clock import Clock
from .config import (
    AuditRecord,
    Configuration,
    Document,
    DrainKind,
    Policy,
    decode_document,
    drain_key,
    encode_document,
)
from .documents import AUDIT_PREFIX, CONFIGURATION_KEY
from .errors import (
    ConfigurationError,
    ConflictError,
    PlatformError,
    StaleStoreError,
    WriteUnknownError,
)
from .platform import Entry, Mismatch, Platform
from .policy import check_program, shipped_policies

MAX_RECORDS = 200
"""Most audit records kept in the document itself."""

_ARCHIVED = 100
_TRIES = 5
_MAX_VALUE = 1_000_000


class Change(abc.ABC):
    """One change that an operator asks for."""

    action: str
    """Kind of change, for the audit trail."""

    replaces_all = False
    """True when the change must not be made on top of another operator's newer change."""

    @abc.abstractmethod
    def detail(self) -> str:
        """Return what the change is about, on one line."""

    @abc.abstractmethod
    def apply(self, document: Document) -> Document:
        """Return the changed document; revision and audit trail are left to the writer."""


class ApplyConfiguration(Change):
    """Replace the whole configuration; policies and drains stay."""

    action = "apply"
    replaces_all = True

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration

    def detail(self) -> str:
        """Return the sizes of the configuration."""
        c = self.configuration
        servers = sum(len(pool.servers) for pool in c.pool)
        return f"{c.name}: {len(c.region)} regions, {len(c.hall)} data halls, {servers} servers"

    def apply(self, document: Document) -> Document:
        """Replace the configuration, once its policies are known."""
        known = _policy_names(document)
        for service in self.configuration.service:
            if service.policy not in known:
                raise ConfigurationError(
                    f"service {service.name}: policy {service.policy!r} is not loaded",
                    f"load it first, or write one of: {', '.join(sorted(known))}",
                )
        return msgspec.structs.replace(document, configuration=self.configuration)


class LoadPolicy(Change):
    """Load a policy program, or replace one of the same name."""

    action = "policy-load"

    def __init__(self, name: str, source: str) -> None:
        self.name = name
        self.source = source

    def detail(self) -> str:
        """Return the policy's name."""
        return self.name

    def apply(self, document: Document) -> Document:
        """Add the program after a trial run."""
        if not self.name.replace("-", "").replace("_", "").isalnum():
            raise ConfigurationError(f"policy name {self.name!r}", "use letters, digits, - and _")
        if self.name in shipped_policies():
            raise ConfigurationError(
                f"policy {self.name} comes with the system", "load yours under another name"
            )
        regions = tuple(region.name for region in document.configuration.region)
        check_program(self.name, self.source, regions)
        others = tuple(p for p in document.policies if p.name != self.name)
        loaded = (*others, Policy(self.name, self.source))
        return msgspec.structs.replace(document, policies=loaded)


class RetirePolicy(Change):
    """Take a policy program out."""

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
                "give those services another policy first",
            )
        left = tuple(p for p in document.policies if p.name != self.name)
        if len(left) == len(document.policies):
            raise ConfigurationError(
                f"no loaded policy {self.name!r}", "list them with: sprucewinch policy list"
            )
        return msgspec.structs.replace(document, policies=left)


class UsePolicy(Change):
    """Give a service another policy."""

    action = "policy-use"

    def __init__(self, service: str, policy: str) -> None:
        self.service = service
        self.policy = policy

    def detail(self) -> str:
        """Return service and policy."""
        return f"{self.service} {self.policy}"

    def apply(self, document: Document) -> Document:
        """Replace the service's policy."""
        known = _policy_names(document)
        if self.policy not in known:
            raise ConfigurationError(
                f"no policy {self.policy!r}", f"write one of: {', '.join(sorted(known))}"
            )
        services = document.configuration.service
        if self.service not in {service.name for service in services}:
            names = ", ".join(service.name for service in services)
            raise ConfigurationError(f"no service {self.service!r}", f"write one of: {names}")
        changed = tuple(
            msgspec.structs.replace(s, policy=self.policy) if s.name == self.service else s
            for s in services
        )
        configuration = msgspec.structs.replace(document.configuration, service=changed)
        return msgspec.structs.replace(document, configuration=configuration)


class Drain(Change):
    """Drain or undrain a backend server, data hall or region."""

    def __init__(self, kind: DrainKind, name: str, *, undo: bool = False) -> None:
        self.kind = kind
        self.name = name
        self.undo = undo
        self.action = "undrain" if undo else "drain"

    def detail(self) -> str:
        """Return kind and name."""
        return f"{self.kind} {self.name}"

    def apply(self, document: Document) -> Document:
        """Add or remove the drain."""
        known = _drainable(document.configuration, self.kind)
        if self.name not in known:
            raise ConfigurationError(
                f"no {self.kind} {self.name!r}", f"write one of: {', '.join(sorted(known))}"
            )
        key = drain_key(self.kind, self.name)
        if self.undo != (key in document.drained):
            state = "not draining" if self.undo else "draining already"
            raise ConfigurationError(f"{self.kind} {self.name} is {state}", "nothing is to be done")
        others = tuple(d for d in document.drained if d != key)
        return msgspec.structs.replace(document, drained=others if self.undo else (*others, key))


class Accepted(NamedTuple):
    """A change that is in the platform's service.

    Args:
        document: The document with the change.
        operation: Identifier of the change.
    """

    document: Document
    operation: str


class _Result(enum.Enum):
    """What became of one write."""

    WRITTEN = "written"
    OVERTAKEN = "overtaken"
    UNKNOWN = "unknown"


class ChangeWriter:
    """Writes changes by compare-and-swap, each with its audit record.

    Args:
        platform: The platform's service.
        clock: Source of time.
        new_operation: Returns a fresh identifier.
    """

    def __init__(
        self,
        platform: Platform,
        clock: Clock,
        *,
        new_operation: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.new_operation = new_operation

    async def write(
        self, change: Change, operator: str, *, base: Optional[int], in_force: int
    ) -> Accepted:
        """Make a change.

        Args:
            change: The change.
            operator: Who makes it.
            base: Revision that the operator saw; needed when the change replaces everything.
            in_force: Highest revision known to be in force.

        Returns:
            The accepted change.

        Raises:
            ConflictError: When another operator changed the configuration since `base`.
            StaleStoreError: When the platform shows less than is in force.
            ConfigurationError: When the change cannot be made.
            PlatformError: When the platform does not answer; nothing was changed.
            WriteUnknownError: When the platform went away during the write, so that the change
                may or may not have been made; names the operation.
        """
        operation = self.new_operation()
        sent = False
        for _ in range(_TRIES):
            entry = await self._read(operation, sent)
            held = _held(entry)
            if _made(held, operation):
                return Accepted(held, operation)
            self._check_base(change, held, base, in_force)
            document = self._next(change, held, operator, operation)
            result = await self._put(document, entry.version if entry else 0)
            if result is _Result.UNKNOWN:
                sent = True
            elif result is _Result.WRITTEN:
                return Accepted(document, operation)
        if sent:
            raise _unknown(operation)
        raise ConflictError("other changes kept coming in between", "try again")

    async def restore(self, in_force: Document, operator: str) -> Accepted:
        """Write the document in force over an older one that the platform shows."""
        operation = self.new_operation()
        entry = await self.platform.get(CONFIGURATION_KEY)
        held = _held(entry)
        if held.revision >= in_force.revision:
            raise ConflictError("the platform shows nothing older", "no restore is needed")
        record = self._record(in_force, operator, operation, "restore", f"over {held.revision}")
        document = msgspec.structs.replace(
            in_force, revision=in_force.revision + 1, audit=(*in_force.audit, record)
        )
        result = await self.platform.put(
            CONFIGURATION_KEY, encode_document(document), entry.version if entry else 0
        )
        if isinstance(result, Mismatch):
            raise ConflictError(
                "the platform's value changed meanwhile", "look at it and try again"
            )
        return Accepted(document, operation)

    async def _read(self, operation: str, sent: bool) -> Optional[Entry]:
        try:
            return await self.platform.get(CONFIGURATION_KEY)
        except PlatformError:
            if sent:
                raise _unknown(operation) from None
            raise

    def _check_base(
        self, change: Change, held: Document, base: Optional[int], in_force: int
    ) -> None:
        if held.revision < in_force:
            raise StaleStoreError(
                f"the platform shows revision {held.revision}, but {in_force} is in force",
                "write it back with: sprucewinch config restore",
            )
        if not change.replaces_all or held.revision == 0:
            return
        if base is None:
            raise ConflictError(
                "a whole configuration needs the revision it was edited from",
                f"give --base; the newest is {held.revision}",
            )
        if base != held.revision:
            raise ConflictError(
                f"revision {base} was edited, but {held.revision} is the newest: "
                + since(held, base),
                "show the newest configuration, make your change again and apply it",
            )

    def _next(self, change: Change, held: Document, operator: str, operation: str) -> Document:
        changed = change.apply(held)
        record = self._record(held, operator, operation, change.action, change.detail())
        return msgspec.structs.replace(
            changed, revision=held.revision + 1, audit=(*held.audit, record)
        )

    def _record(
        self, held: Document, operator: str, operation: str, action: str, detail: str
    ) -> AuditRecord:
        return AuditRecord(
            held.revision + 1, operation, self.clock.wall(), operator, action, detail
        )

    async def _put(self, document: Document, expected: int) -> _Result:
        try:
            document = await self._archive(document)
            value = encode_document(document)
            if len(value) > _MAX_VALUE:
                raise ConfigurationError(
                    f"the configuration takes {len(value)} bytes; at most {_MAX_VALUE} are held",
                    "retire policies or shorten lists",
                )
            result = await self.platform.put(CONFIGURATION_KEY, value, expected)
        except WriteUnknownError:
            return _Result.UNKNOWN
        return _Result.OVERTAKEN if isinstance(result, Mismatch) else _Result.WRITTEN

    async def _archive(self, document: Document) -> Document:
        """Move the oldest records to a key of their own before they leave the document."""
        if len(document.audit) <= MAX_RECORDS:
            return document
        oldest, rest = document.audit[:_ARCHIVED], document.audit[_ARCHIVED:]
        key = f"{AUDIT_PREFIX}{oldest[0].revision:012d}"
        await self.platform.put(key, msgspec.json.encode(oldest), 0)
        return msgspec.structs.replace(document, audit=rest)


EMPTY = Document(0, Configuration("none", (), (), (), ()))
"""What the platform holds before the first configuration."""


def _held(entry: Optional[Entry]) -> Document:
    return decode_document(entry.value) if entry else EMPTY


def _made(held: Document, operation: str) -> bool:
    return any(record.operation == operation for record in held.audit)


def _unknown(operation: str) -> WriteUnknownError:
    return WriteUnknownError(
        f"the platform went away during the write; operation {operation} may have been made",
        f"when it is back, look with: sprucewinch audit --operation {operation}",
    )


def since(document: Document, revision: int) -> str:
    """Return the changes after a revision, on one line."""
    newer = [r for r in document.audit if r.revision > revision]
    return "; ".join(f"{r.revision} {r.operator} {r.action} {r.detail}" for r in newer[-5:])


def _policy_names(document: Document) -> set[str]:
    return {*shipped_policies(), *(policy.name for policy in document.policies)}


def _drainable(configuration: Configuration, kind: DrainKind) -> set[str]:
    if kind == "server":
        return {server for pool in configuration.pool for server in pool.servers}
    if kind == "hall":
        return {hall.name for hall in configuration.hall}
    return {region.name for region in configuration.region}
