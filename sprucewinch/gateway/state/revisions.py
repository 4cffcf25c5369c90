"""Orders revisions over all eras of the store.

The store counts its revisions. When it returns from an older copy, a new era begins: the counter
goes back and gives the same numbers out again. A revision here is a number in its era together with
the era, in one integer, so that every comparison orders changes of a later era after all changes of
earlier ones. Without an era it is the store's own number, which VMs of versions without eras order
in the same way.

The platform's adapter makes revisions (`at_era`) and gives the store its own numbers back
(`in_era`). Owns the layout of the integer, which fits 64 bits. Tests: `test_gateway_revisions`.
"""

NO_ERA = 0
"""Era of a store that has stated none."""

_ERA_SPAN = 1 << 40
"""Revisions of one era: at a thousand changes a second they last for 34 years."""


def at_era(era: int, number: int) -> int:
    """Return the revision of a change.

    Args:
        era: The store's era, from `NO_ERA` on.
        number: The store's own number of the change.
    """
    return era * _ERA_SPAN + number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // _ERA_SPAN


def in_era(revision: int) -> int:
    """Return the store's own number of a change, which is valid in its era alone."""
    return revision % _ERA_SPAN
