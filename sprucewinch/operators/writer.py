"""Writes changes to the configuration document by compare-and-swap.

For each change it decides whether the change took effect, did not, or may have. It owns the
configuration's key on the platform and the audit trail, and relies only on the platform's
compare-and-swap. Each change is applied to the document that the platform holds and written
together with its audit record. Two operators may write at once, and a write whose answer is lost
may have taken effect; such a write is resolved by reading the document back. Either the audit
record is in it, or the change is written again over the same version, and at most one of the two
writes can succeed.

When the platform holds a newer document, the change is applied again to that one. A whole
configuration is refused instead, since it would overwrite another operator's change. A platform
that shows a lower revision than the one in force has lost writes, so no change is applied to it.

Operators see the result in the audit trail, or as a `ConflictError`, `StaleStoreError` or
`WriteUnknownError`. `tests.test_changes` covers these rules.
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

MAX_AUDIT_RECORDS = 200
"""Audit records kept in the document itself; older ones are archived."""

_ARCHIVE_BATCH_RECORDS = 100
"""Audit records moved to an archive key at a time. Half of `MAX_AUDIT_RECORDS`, so that only one
change in a hundred needs a second write."""

_MAX_WRITE_ATTEMPTS = 5
"""Attempts to write one change, each on the newest document, before the operator gets an error."""

_MAX_DOCUMENT_BYTES = 1_000_000
"""Largest encoded document: the platform stores values of up to one megabyte."""

_MAX_CHANGES_SHOWN = 5
"""Newest changes that a conflict message lists, so that it stays on one line."""


class CommittedChange(NamedTuple):
    """A change that the platform has stored.

    Args:
        document: The document that contains the change.
        operation: Identifier of the change in the audit trail.
    """

    document: Document
    operation: str


class _ChangeRequest(NamedTuple):
    """A change that an operator requests, with what is needed to check and record it.

    Args:
        change: The change.
        operator: Name of the operator.
        operation: Identifier of the change in the audit trail.
        base: Revision that the operator edited; None when unknown.
        in_force: Highest revision known to be in force.
    """

    change: Change
    operator: str
    operation: str
    base: Optional[int]
    in_force: int


class _WriteResult(enum.Enum):
    """Result of one write; `OVERTAKEN` by a newer version, or `UNKNOWN` as its answer was lost."""

    WRITTEN = "written"
    OVERTAKEN = "overtaken"
    UNKNOWN = "unknown"


class ChangeWriter:
    """Writes changes by compare-and-swap, each with its audit record.

    Args:
        store: Client of the platform's store.
        clock: Source of time.
        new_operation: Returns a unique identifier for a change.
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
    ) -> CommittedChange:
        """Apply a change to the newest document and write it.

        Args:
            change: The change.
            operator: Name of the operator.
            base: Revision that the operator edited; required when the change replaces everything.
            in_force: Highest revision known to be in force.

        Returns:
            The committed change.

        Raises:
            ConflictError: When another operator changed the configuration since `base`, or other
                changes were written first on every attempt.
            StaleStoreError: When the platform shows a lower revision than `in_force`.
            ConfigurationError: When the change does not fit the document, or makes it too large.
            PolicyError: When a policy program fails its check.
            PlatformError: When the platform does not answer; nothing was changed.
            WriteUnknownError: When the answer to a write was lost, so that the change may or may
                not have been made; names the operation.
        """
        operation = self.new_operation()
        return await self._write(_ChangeRequest(change, operator, operation, base, in_force))

    async def _write(self, request: _ChangeRequest) -> CommittedChange:
        unresolved = False
        for _ in range(_MAX_WRITE_ATTEMPTS):
            entry = await self._read_entry(request.operation, unresolved)
            current = _decode_stored(entry)
            if _contains_operation(current, request.operation):
                return CommittedChange(current, request.operation)
            document = self._next_document(request, current)
            result = await self._try_write(document, entry.version if entry else 0)
            if result is _WriteResult.WRITTEN:
                return CommittedChange(document, request.operation)
            unresolved = unresolved or result is _WriteResult.UNKNOWN
        if unresolved:
            raise _write_unknown(request.operation)
        raise ConflictError(
            "other operators' changes were written first in every attempt", "try again"
        )

    async def restore(self, in_force: Document, operator: str) -> CommittedChange:
        """Write the document in force over an older one that the platform holds.

        Args:
            in_force: The document in force.
            operator: Name of the operator.

        Returns:
            The committed document, one revision above the one in force.

        Raises:
            ConflictError: When the platform's document is not older, or changes during the call.
            PlatformError: When the platform does not answer.
        """
        operation = self.new_operation()
        entry = await self.store.get(CONFIGURATION_KEY)
        current = _decode_stored(entry)
        if current.revision >= in_force.revision:
            raise ConflictError(
                "the platform's configuration is not older than the one in force",
                "no restore is needed",
            )
        record = self._record(in_force, operator, operation, "restore", f"over {current.revision}")
        document = msgspec.structs.replace(
            in_force, revision=in_force.revision + 1, audit=(*in_force.audit, record)
        )
        result = await self.store.put(
            CONFIGURATION_KEY, encode_document(document), entry.version if entry else 0
        )
        if isinstance(result, VersionMismatch):
            raise ConflictError(
                "the platform's configuration changed during the restore",
                "check the change with: sprucewinch audit; then try again",
            )
        return CommittedChange(document, operation)

    async def _read_entry(self, operation: str, unresolved: bool) -> Optional[Entry]:
        try:
            return await self.store.get(CONFIGURATION_KEY)
        except PlatformError:
            if unresolved:
                raise _write_unknown(operation) from None
            raise

    def _next_document(self, request: _ChangeRequest, current: Document) -> Document:
        _check_base_revision(request, current)
        change = request.change
        changed = change.apply(current)
        record = self._record(
            current, request.operator, request.operation, change.action, change.detail()
        )
        return msgspec.structs.replace(
            changed, revision=current.revision + 1, audit=(*current.audit, record)
        )

    def _record(
        self, previous: Document, operator: str, operation: str, action: str, detail: str
    ) -> AuditRecord:
        return AuditRecord(
            previous.revision + 1, operation, self.clock.wall(), operator, action, detail
        )

    async def _try_write(self, document: Document, expected: int) -> _WriteResult:
        try:
            document = await self._archive(document)
            value = encode_document(document)
            if len(value) > _MAX_DOCUMENT_BYTES:
                raise ConfigurationError(
                    f"the configuration document has {len(value)} bytes; "
                    f"at most {_MAX_DOCUMENT_BYTES} can be stored",
                    "retire policies or shorten lists",
                )
            result = await self.store.put(CONFIGURATION_KEY, value, expected)
        except WriteUnknownError:
            # This is no error yet: the next attempt reads back whether the write took effect.
            return _WriteResult.UNKNOWN
        return (
            _WriteResult.OVERTAKEN if isinstance(result, VersionMismatch) else _WriteResult.WRITTEN
        )

    async def _archive(self, document: Document) -> Document:
        """Copy the oldest audit records to an archive key before removing them here."""
        if len(document.audit) <= MAX_AUDIT_RECORDS:
            return document
        oldest, rest = (
            document.audit[:_ARCHIVE_BATCH_RECORDS],
            document.audit[_ARCHIVE_BATCH_RECORDS:],
        )
        key = f"{AUDIT_PREFIX}{oldest[0].revision:012d}"
        await self.store.put(key, msgspec.json.encode(oldest), 0)
        return msgspec.structs.replace(document, audit=rest)


EMPTY_DOCUMENT = Document(0, Configuration("none", (), (), (), ()))
"""Stands for the document before the first configuration is written."""


def _decode_stored(entry: Optional[Entry]) -> Document:
    return decode_document(entry.value) if entry else EMPTY_DOCUMENT


def _check_base_revision(request: _ChangeRequest, current: Document) -> None:
    """Refuse a document older than the one in force, or other than the one that was edited."""
    if current.revision < request.in_force:
        raise StaleStoreError(
            f"the platform shows revision {current.revision}, but {request.in_force} is in force",
            "write the newer one back with: sprucewinch config restore",
        )
    if not request.change.replaces_all or current.revision == 0:
        return
    if request.base is None:
        raise ConflictError(
            "the revision that the configuration was edited from is missing",
            f"give it with --base; the newest is {current.revision}",
        )
    if request.base != current.revision:
        raise ConflictError(
            f"the configuration was edited from revision {request.base}, but {current.revision} "
            "is the newest: " + changes_since(current, request.base),
            "get the newest with: sprucewinch config show; then edit and apply it again",
        )


def _contains_operation(document: Document, operation: str) -> bool:
    return any(record.operation == operation for record in document.audit)


def _write_unknown(operation: str) -> WriteUnknownError:
    return WriteUnknownError(
        f"the platform stopped answering during the write; operation {operation} "
        "may or may not have taken effect",
        f"when it answers again, check with: sprucewinch audit --operation {operation}",
    )


def changes_since(document: Document, revision: int) -> str:
    """Return the newest changes made after a revision, on one line."""
    newer_records = [r for r in document.audit if r.revision > revision]
    shown_records = newer_records[-_MAX_CHANGES_SHOWN:]
    return "; ".join(f"{r.revision} {r.operator} {r.action} {r.detail}" for r in shown_records)
