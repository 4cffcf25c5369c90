"""The product's own keys in the store: which entry VMs there are."""

from typing import Optional

import msgspec

from .beliefs import Fact, MalformedItemError
from .model import Member
from .replica import Item

OWN_PREFIX = "sprucewinch/"
MEMBER_PREFIX = OWN_PREFIX + "members/"


def member_item(member: Member) -> tuple[str, bytes]:
    """Return the key and value that register a member."""
    return MEMBER_PREFIX + member.name, msgspec.json.encode(member._asdict())


def decode_own(item: Item) -> Optional[Fact]:
    """Return what an item of the product's own says; None for other keys.

    Raises:
        MalformedItemError: When it cannot be read.
    """
    if not item.key.startswith(MEMBER_PREFIX):
        return None
    try:
        fields = msgspec.json.decode(item.value, type=dict[str, object])
        return msgspec.convert(list(map(fields.get, Member._fields)), Member)
    except msgspec.MsgspecError as error:
        raise MalformedItemError(f"no member: {error}") from None
