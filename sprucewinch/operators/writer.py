"""Safe writing of changes: compare-and-swap, with the audit record in the same write."""

import enum
import uuid
from collections.abc import Callable
from typing import NamedTuple, Optional

import msgspec

from ..clock import Clock
from ..config.configuration import AuditRecord, Configuration, Document
from ..config.loading import decode_document, encode_document
from ..errors import (
    ConfigurationError,
    ConflictError,
    PlatformError,
    StaleStoreError,
    WriteUnknownError,
)
from ..hall.store.documents import AUDIT_PREFIX, CONFIGURATION_KEY
from ..hall.store.store import Entry, Mismatch, Platform
from .changes import Change

MAX_RECORDS = 200
"""Most audit records kept in the document itself."""

_ARCHIVED = 100
_TRIES = 5
_MAX_VALUE = 1_000_000


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
