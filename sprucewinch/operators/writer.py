"""Safe writing of changes: compare-and-swap, with the audit record in the same write.

Question: did this change take effect, did it not, or is that unknown?

Owns the key of the configuration on the platform and the audit trail. A change is made on top of
the document that the platform holds, with its audit record in the same write, so that a lost answer
is resolved by reading back: the record is there, or the change is written again over the same
version, which only one of the two writes can win. A write that meets a newer document starts again
from that one; a whole configuration is refused instead, since it would undo another operator's
change. Relies on the platform's compare-and-swap alone.

Why: a write whose answer is lost may have taken effect, and two operators may write at once. A
platform that shows less than is in force has lost writes, so nothing is built on it.

Shows in: the audit trail, and `ConflictError`, `StaleStoreError` or `WriteUnknownError` at the
operator. Tests: `tests.test_changes`.
"""

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
from ..hall.store.store import Entry, Store, VersionMismatch
from .changes import Change

MAX_RECORDS = 200
"""Most audit records kept in the document itself."""

_ARCHIVED = 100
"""Records moved to a key of their own at once: half of `MAX_RECORDS`, so that one write in a
hundred costs two."""

_TRIES = 5
"""Writes of one change, each on top of a newer document, before the operator has to decide."""

_MAX_VALUE = 1_000_000
"""Largest document, in bytes: the brief's platform holds values up to a megabyte."""

_SHOWN_CHANGES = 5
"""Newest changes named in a conflict, so that the message stays on one line."""


class Accepted(NamedTuple):
    """A change that is in the platform's service.

    Args:
        document: The document with the change.
        operation: Identifier of the change.
    """

    document: Document
    operation: str


class _Call(NamedTuple):
    """One operator's call on its way to the platform.

    Args:
        change: The change.
        operator: Who makes it.
        operation: Identifier of the change.
        base: Revision that the operator saw.
        in_force: Highest revision known to be in force.
    """

    change: Change
    operator: str
    operation: str
    base: Optional[int]
    in_force: int


class _Result(enum.Enum):
    """Result of one write; `UNKNOWN` when its answer is lost."""

    WRITTEN = "written"
    OVERTAKEN = "overtaken"
    UNKNOWN = "unknown"


class ChangeWriter:
    """Writes changes by compare-and-swap, each with its audit record.

    Args:
        store: The platform's service.
        clock: Source of time.
        new_operation: Returns a fresh identifier.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        *,
        new_operation: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        self.store = store
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
        return await self._write(_Call(change, operator, operation, base, in_force))

    async def _write(self, call: _Call) -> Accepted:
        sent = False
        for _ in range(_TRIES):
            entry = await self._read(call.operation, sent)
            held = _held(entry)
            if _made(held, call.operation):
                return Accepted(held, call.operation)
            document = self._next(call, held)
            result = await self._put(document, entry.version if entry else 0)
            if result is _Result.WRITTEN:
                return Accepted(document, call.operation)
            sent = sent or result is _Result.UNKNOWN
        if sent:
            raise _unknown(call.operation)
        raise ConflictError("other changes came first each time", "try again")

    async def restore(self, in_force: Document, operator: str) -> Accepted:
        """Write the document in force over an older one that the platform shows.

        Args:
            in_force: The document in force.
            operator: Who restores it.

        Raises:
            ConflictError: When the platform shows nothing older, or its value changes meanwhile.
            PlatformError: When the platform does not answer.
        """
        operation = self.new_operation()
        entry = await self.store.get(CONFIGURATION_KEY)
        held = _held(entry)
        if held.revision >= in_force.revision:
            raise ConflictError("the platform shows nothing older", "no restore is needed")
        record = self._record(in_force, operator, operation, "restore", f"over {held.revision}")
        document = msgspec.structs.replace(
            in_force, revision=in_force.revision + 1, audit=(*in_force.audit, record)
        )
        result = await self.store.put(
            CONFIGURATION_KEY, encode_document(document), entry.version if entry else 0
        )
        if isinstance(result, VersionMismatch):
            raise ConflictError(
                "the platform's value changed meanwhile", "look at it and try again"
            )
        return Accepted(document, operation)

    async def _read(self, operation: str, sent: bool) -> Optional[Entry]:
        try:
            return await self.store.get(CONFIGURATION_KEY)
        except PlatformError:
            if sent:
                raise _unknown(operation) from None
            raise

    def _next(self, call: _Call, held: Document) -> Document:
        _check_base(call, held)
        change = call.change
        changed = change.apply(held)
        record = self._record(held, call.operator, call.operation, change.action, change.detail())
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
            result = await self.store.put(CONFIGURATION_KEY, value, expected)
        except WriteUnknownError:
            # A result, no error yet: the next try reads back whether the write took effect.
            return _Result.UNKNOWN
        return _Result.OVERTAKEN if isinstance(result, VersionMismatch) else _Result.WRITTEN

    async def _archive(self, document: Document) -> Document:
        """Move the oldest records to a key of their own before they leave the document."""
        if len(document.audit) <= MAX_RECORDS:
            return document
        oldest, rest = document.audit[:_ARCHIVED], document.audit[_ARCHIVED:]
        key = f"{AUDIT_PREFIX}{oldest[0].revision:012d}"
        await self.store.put(key, msgspec.json.encode(oldest), 0)
        return msgspec.structs.replace(document, audit=rest)


EMPTY = Document(0, Configuration("none", (), (), (), ()))
"""What the platform holds before the first configuration."""


def _held(entry: Optional[Entry]) -> Document:
    return decode_document(entry.value) if entry else EMPTY


def _check_base(call: _Call, held: Document) -> None:
    """Refuse to build on a document that is not the newest, or not the one that was edited."""
    if held.revision < call.in_force:
        raise StaleStoreError(
            f"the platform shows revision {held.revision}, but {call.in_force} is in force",
            "write it back with: sprucewinch config restore",
        )
    if not call.change.replaces_all or held.revision == 0:
        return
    if call.base is None:
        raise ConflictError(
            "a whole configuration needs the revision it was edited from",
            f"give --base; the newest is {held.revision}",
        )
    if call.base != held.revision:
        raise ConflictError(
            f"revision {call.base} was edited, but {held.revision} is the newest: "
            + since(held, call.base),
            "show the newest configuration, make your change again and apply it",
        )


def _made(held: Document, operation: str) -> bool:
    return any(record.operation == operation for record in held.audit)


def _unknown(operation: str) -> WriteUnknownError:
    return WriteUnknownError(
        f"the platform went away during the write; operation {operation} may have been made",
        f"when it is back, look with: sprucewinch audit --operation {operation}",
    )


def since(document: Document, revision: int) -> str:
    """Return the newest changes after a revision, on one line."""
    newer = [r for r in document.audit if r.revision > revision]
    shown = newer[-_SHOWN_CHANGES:]
    return "; ".join(f"{r.revision} {r.operator} {r.action} {r.detail}" for r in shown)
