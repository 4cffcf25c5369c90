"""Hashes of text that are the same in every process, unlike Python's own.

Owns the choice of the hash: VMs of the fleet must agree on where a key goes, also across versions,
so it may not change. Relies on xxhash; not for secrets.
"""

import xxhash


def hash32(text: str) -> int:
    """Return a hash in `[0, 2**32)`."""
    return xxhash.xxh32_intdigest(text.encode())


def hash64(text: str) -> int:
    """Return a hash in `[0, 2**64)`."""
    return xxhash.xxh64_intdigest(text.encode())
