"""Hashes of text that are the same in every process."""

import xxhash


def hash32(text: str) -> int:
    """Return a hash in `[0, 2**32)`."""
    return xxhash.xxh32_intdigest(text.encode())


def hash64(text: str) -> int:
    """Return a hash in `[0, 2**64)`."""
    return xxhash.xxh64_intdigest(text.encode())
