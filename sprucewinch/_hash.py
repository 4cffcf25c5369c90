"""Hashes of text that are the same in every process, unlike Python's own.

The module owns the choice of the hash. It must not change, since all VMs of the fleet, whatever
their version, must map a key to the same place. It relies on xxhash,
which is not suitable for secrets.
"""

import xxhash


def hash32(text: str) -> int:
    """Return a hash in `[0, 2**32)`."""
    return xxhash.xxh32_intdigest(text.encode())


def hash64(text: str) -> int:
    """Return a hash in `[0, 2**64)`."""
    return xxhash.xxh64_intdigest(text.encode())
