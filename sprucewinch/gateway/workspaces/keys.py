"""API keys as a VM holds them: digests under a secret of this process.

Owns the secret and the digest. A key is looked up by its digest, so the time of a look-up tells
nothing of how much of a guess is right, and a dump of the decoded configuration holds no key. The
operators' item in `state.replica` holds them as they were written, as it is handed on to other VMs.
Relies on `hashlib`.
"""

import hashlib
import secrets

_DIGEST_BYTES = 16
"""Length of a digest, in bytes: no two keys share one."""

_SECRET = secrets.token_bytes(32)
"""Secret of this process: digests of two processes tell nothing of each other."""


def key_digest(key: str) -> bytes:
    """Return the digest of an API key.

    Args:
        key: The key, as a caller sends it or as the configuration holds it.
    """
    text = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES, key=_SECRET).digest()
