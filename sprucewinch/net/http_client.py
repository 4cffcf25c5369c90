"""HTTP client sessions that never send a request again by themselves.

Owns how the own interface's sessions towards backend servers and its store are made. Relies on
aiohttp, and on its private attribute `_retry_connection`, as the library has no public option.
"""

from typing import Any

import aiohttp


def make_session(**options: Any) -> aiohttp.ClientSession:
    """Return a client session without hidden retries.

    The library sends requests of some methods again when a kept connection breaks. A write or a
    request that must not run twice would then run twice; a compare-and-swap that took effect would
    look as if another writer had won.

    Args:
        options: Options of `aiohttp.ClientSession`.
    """
    session = aiohttp.ClientSession(**options)
    session._retry_connection = False
    return session
