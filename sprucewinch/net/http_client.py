"""HTTP client sessions that never send a request again by themselves."""

from typing import Any

import aiohttp


def make_session(**options: Any) -> aiohttp.ClientSession:
    """Return a client session without hidden retries.

    The library sends requests of some methods again when a kept connection breaks. A write or a
    request that must not run twice would then run twice, or look as if somebody else had won.

    Args:
        options: Options of `aiohttp.ClientSession`.
    """
    session = aiohttp.ClientSession(**options)
    session._retry_connection = False
    return session
