"""The product's own keys in the store: entry VMs, policies, and which policy steers a service."""

import re
from typing import Any, NamedTuple, Optional, TypeVar

import msgspec

from ..resources import Fact, Member, PolicyChoice, PolicyProgram
from .replica import Item
from .store_view import MalformedItemError

OWN_PREFIX = "sprucewinch/"
MEMBER_PREFIX = OWN_PREFIX + "members/"
POLICY_PREFIX = OWN_PREFIX + "policies/"
CHOICE_PREFIX = OWN_PREFIX + "policy-of/"

_KINDS: dict[str, type] = {
    MEMBER_PREFIX: Member,
    POLICY_PREFIX: PolicyProgram,
    CHOICE_PREFIX: PolicyChoice,
}

_INDEX = re.compile(r"\$\[(\d+)\]")

T = TypeVar("T")


class Stored(NamedTuple):
    """A key and the value that it holds."""

    key: str
    value: bytes


def member_item(member: Member) -> Stored:
    """Return what registers a member."""
    return _stored(MEMBER_PREFIX + member.name, member)


def program_item(program: PolicyProgram) -> Stored:
    """Return what loads a policy."""
    return _stored(POLICY_PREFIX + program.name, program)


def choice_item(choice: PolicyChoice) -> Stored:
    """Return what puts a policy in force for a service."""
    return _stored(CHOICE_PREFIX + choice.service, choice)


def decode_own(item: Item) -> Optional[Fact]:
    """Return what an item of the product's own says; None for other keys.

    Raises:
        MalformedItemError: When it cannot be read.
    """
    for prefix, kind in _KINDS.items():
        if item.key.startswith(prefix):
            return _decode(item.value, kind)
    return None


def _stored(key: str, fact: Any) -> Stored:
    return Stored(key, msgspec.json.encode(fact._asdict()))


def _decode(value: bytes, kind: type[T]) -> T:
    names: tuple[str, ...] = kind._fields  # type: ignore[attr-defined]
    try:
        fields = msgspec.json.decode(value, type=dict[str, object])
        return msgspec.convert(list(map(fields.get, names)), kind)
    except msgspec.MsgspecError as error:
        problem = _INDEX.sub(lambda found: names[int(found[1])], str(error))
        raise MalformedItemError(f"no {kind.__name__}: {problem}") from None
