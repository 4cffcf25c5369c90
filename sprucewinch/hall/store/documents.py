"""Versioned documents that entry VMs replicate: a document is replaced only by a higher revision.

`DocumentReplica` owns the newest revision of each document that this VM has accepted, and the
module owns the names of the store's keys. The caller checks and applies a document before it
replaces an older one.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple, Optional

import msgspec

WATCH_PREFIX = "steer/"
"""Prefix of the keys of the documents that every entry VM holds."""

CONFIGURATION_KEY = "steer/configuration"
"""Key of the configuration in force."""

PLAN_PREFIX = "steer/plan/"
"""Prefix of the keys of plans; the client region's name follows."""

AUDIT_PREFIX = "audit/"
"""Prefix of the keys under which older parts of the audit trail are archived."""


class Revisioned(NamedTuple):
    """A document's key, revision and encoded bytes."""

    key: str
    revision: int
    value: bytes


class _Envelope(msgspec.Struct):
    revision: int


def decode_revisioned(key: str, value: bytes) -> Optional[Revisioned]:
    """Return a stored value with the revision in its JSON text; None when it has no revision."""
    try:
        return Revisioned(key, msgspec.json.decode(value, type=_Envelope).revision, value)
    except msgspec.MsgspecError:
        # `StoreReader.apply` logs the key as `event=unreadable`.
        return None


AcceptDocument = Callable[[Revisioned], bool]
"""Checks and applies a document; returns False when it cannot be used."""


class DocumentReplica:
    """This entry VM's replica of the documents.

    Args:
        accept: Called before a document replaces an older one; returns False to reject it.
    """

    def __init__(self, accept: AcceptDocument) -> None:
        self.accept = accept
        self.documents: dict[str, Revisioned] = {}

    def offer(self, document: Revisioned) -> bool:
        """Store a document when it is newer and `accept` applies it.

        Returns:
            True when the document replaces the one held.
        """
        if document.revision <= self.revision(document.key):
            return False
        if not self.accept(document):
            return False
        self.documents[document.key] = document
        return True

    def revision(self, key: str) -> int:
        """Return the revision held; 0 when there is none."""
        held = self.documents.get(key)
        return held.revision if held else 0

    def get(self, key: str) -> Optional[Revisioned]:
        """Return the document held under a key; None when there is none."""
        return self.documents.get(key)

    def revisions(self) -> dict[str, int]:
        """Return the revision of every document."""
        return {key: document.revision for key, document in self.documents.items()}

    def newer_than(self, revisions: dict[str, int]) -> list[Revisioned]:
        """Return the documents that are newer than another VM's."""
        return [d for d in self.documents.values() if d.revision > revisions.get(d.key, 0)]

    def older_than(self, revisions: dict[str, int]) -> list[str]:
        """Return the keys of which another VM has a newer document."""
        return [key for key, revision in revisions.items() if revision > self.revision(key)]

    def select(self, keys: Iterable[str]) -> list[Revisioned]:
        """Return the documents held under the given keys; keys without a document are skipped."""
        return [self.documents[key] for key in keys if key in self.documents]
