"""Encodes and decodes the product's own items in the store.

These are registered entry VMs, policies, the policy in force for each service, and quarantined
requests. Owns the prefixes of their keys and the encoding of their values, which VMs of other
versions read too. Relies on `resources` for the types. Values are JSON objects, so that a later
version may add a field; a value that does not decode raises an error that names the field.
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

_TYPES_BY_PREFIX: dict[str, type] = {
    MEMBER_PREFIX: Member,
    POLICY_PREFIX: PolicyProgram,
    CHOICE_PREFIX: PolicyChoice,
    QUARANTINE_PREFIX: QuarantinedRequest,
}

_STORED_NAMES = {"hall": "zone"}
"""Stored names of fields whose own names differ; VMs of older versions read the stored ones."""

_FIELD_INDEX = re.compile(r"\$\[(\d+)\]")

T = TypeVar("T")


class StoredItem(NamedTuple):
    """A key and its value."""

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
    """Return the item that quarantines a request."""
    return _stored(quarantine_key(request.fingerprint), request)


def quarantine_key(fingerprint: str) -> str:
    """Return the key of a quarantined request."""
    return QUARANTINE_PREFIX + fingerprint


def decode_own(item: Item) -> Optional[Resource]:
    """Return the resource of an item under the product's own keys, or None for other keys.

    Raises:
        MalformedItemError: If its value does not decode.
    """
    for prefix, resource_type in _TYPES_BY_PREFIX.items():
        if item.key.startswith(prefix):
            resource = _decode(item.value, resource_type)
            if isinstance(resource, QuarantinedRequest):
                _check_hexadecimal(resource)
            return resource
    return None


def _check_hexadecimal(request: QuarantinedRequest) -> None:
    """Raise `MalformedItemError` unless the fingerprint and the target hash are hexadecimal."""
    try:
        bytes.fromhex(request.fingerprint)
        int(request.target_hash, 16)
    except ValueError as error:
        raise MalformedItemError(f"not a valid {type(request).__name__}: {error}") from None


def _stored(key: str, resource: Any) -> StoredItem:
    names = map(_stored_name, resource._fields)
    return StoredItem(key, msgspec.json.encode(dict(zip(names, resource, strict=True))))


def _stored_name(field: str) -> str:
    return _STORED_NAMES.get(field, field)


def _decode(value: bytes, resource_type: type[T]) -> T:
    names = tuple(map(_stored_name, resource_type._fields))  # type: ignore[attr-defined]
    try:
        fields = msgspec.json.decode(value, type=dict[str, object])
        return msgspec.convert(list(map(fields.get, names)), resource_type)
    except msgspec.MsgspecError as error:
        problem = _FIELD_INDEX.sub(lambda match: names[int(match[1])], str(error))
        raise MalformedItemError(f"not a valid {resource_type.__name__}: {problem}") from None
