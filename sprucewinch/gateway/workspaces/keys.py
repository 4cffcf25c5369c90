"""API keys as a VM holds them: digests keyed with a secret of this process.

This module owns the secret and the digest. A key is looked up by its digest, so that the time of a
look-up does not reveal how much of a guess is right, and a dump of the decoded configuration
contains no key. The operators' item in `state.replica` contains the keys as they were written,
because it is passed on to other VMs. The module relies on `hashlib`.
"""

import hashlib
import secrets

_DIGEST_BYTES = 16
"""Length of a digest, in bytes: long enough that no two keys share one."""

_SECRET = secrets.token_bytes(32)
"""Secret of this process, so that the digests of two processes cannot be compared."""


def key_digest(key: str) -> bytes:
    """Return the digest of an API key.

    Args:
        key: The key, as a caller sends it or as the configuration states it.
    """
    text = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES, key=_SECRET).digest()
