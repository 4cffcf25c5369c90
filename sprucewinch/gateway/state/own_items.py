"""The product's own keys in the store: entry VMs, policies with their services, quarantine.

Owns the prefixes of these keys and the encoding of their values, which VMs of other versions read.
Relies on `resources` for the types. Values are JSON objects of named fields, so that a version may
add a field; a value that cannot be read raises an error that names the field.
"""

import re
from typing import Any, NamedTuple, Optional, TypeVar

import msgspec

from ..resources import Member, PolicyChoice, PolicyProgram, QuarantinedRequest, Resource
from .replica import Item
from .store_view import MalformedItemError

OWN_PREFIX = "sprucewinch/"
MEMBER_PREFIX = OWN_PREFIX + "members/"
POLICY_PREFIX = OWN_PREFIX + "policies/"
CHOICE_PREFIX = OWN_PREFIX + "policy-of/"
QUARANTINE_PREFIX = OWN_PREFIX + "quarantine/"

_KINDS: dict[str, type] = {
    MEMBER_PREFIX: Member,
    POLICY_PREFIX: PolicyProgram,
    CHOICE_PREFIX: PolicyChoice,
    QUARANTINE_PREFIX: QuarantinedRequest,
}

_STORED_NAMES = {"hall": "zone"}
"""Names of fields in stored values where they differ from the field's own; kept for older VMs."""

_INDEX = re.compile(r"\$\[(\d+)\]")

T = TypeVar("T")


class StoredItem(NamedTuple):
    """A key and the value that it holds."""

    key: str
    value: bytes


def member_item(member: Member) -> StoredItem:
    """Return the item that registers an entry VM."""
    return _stored(MEMBER_PREFIX + member.name, member)


def program_item(program: PolicyProgram) -> StoredItem:
    """Return the item that holds a policy."""
    return _stored(POLICY_PREFIX + program.name, program)


def choice_item(choice: PolicyChoice) -> StoredItem:
    """Return the item that puts a policy in force for a service."""
    return _stored(CHOICE_PREFIX + choice.service, choice)


def quarantine_item(request: QuarantinedRequest) -> StoredItem:
    """Return the item that keeps a request from backend servers."""
    return _stored(quarantine_key(request.fingerprint), request)


def quarantine_key(fingerprint: str) -> str:
    """Return the key of a quarantined request."""
    return QUARANTINE_PREFIX + fingerprint


def decode_own(item: Item) -> Optional[Resource]:
    """Return the resource of an item under the product's own keys; None for other keys.

    Raises:
        MalformedItemError: When its value does not decode.
    """
    for prefix, kind in _KINDS.items():
        if item.key.startswith(prefix):
            resource = _decode(item.value, kind)
            if isinstance(resource, QuarantinedRequest):
                _check_digits(resource)
            return resource
    return None


def _check_digits(request: QuarantinedRequest) -> None:
    """Raise an error when what names a request is not written in hexadecimal digits."""
    try:
        bytes.fromhex(request.fingerprint)
        int(request.target_hash, 16)
    except ValueError as error:
        raise MalformedItemError(f"no {type(request).__name__}: {error}") from None


def _stored(key: str, resource: Any) -> StoredItem:
    names = map(_stored_name, resource._fields)
    return StoredItem(key, msgspec.json.encode(dict(zip(names, resource, strict=True))))


def _stored_name(field: str) -> str:
    return _STORED_NAMES.get(field, field)


def _decode(value: bytes, kind: type[T]) -> T:
    names = tuple(map(_stored_name, kind._fields))  # type: ignore[attr-defined]
    try:
        fields = msgspec.json.decode(value, type=dict[str, object])
        return msgspec.convert(list(map(fields.get, names)), kind)
    except msgspec.MsgspecError as error:
        problem = _INDEX.sub(lambda found: names[int(found[1])], str(error))
        raise MalformedItemError(f"no {kind.__name__}: {problem}") from None
