"""HTTP client sessions without automatic retries.

Owns how sessions to backend servers and to the store are made for Sprucewinch's own interface.
Relies on aiohttp and on its private attribute `_retry_connection`, as it has no public option.
"""

from typing import Any

import aiohttp


def make_session(**options: Any) -> aiohttp.ClientSession:
    """Return a client session that never retries a request by itself.

    By default aiohttp retries requests of some methods when a reused connection breaks. A write, or
    a request that must not run twice, might then run twice; a compare-and-swap that took effect
    would appear to have been overtaken by another writer.

    Args:
        options: Options of `aiohttp.ClientSession`.
    """
    session = aiohttp.ClientSession(**options)
    session._retry_connection = False
    return session
