"""Writes a final answer to a caller over ASGI.

The module decides the format of this VM's own answers and which headers of a server's answer are
forwarded. It relies on the reply that `outcome.final_answer` made, and does not change what the
reply says.
"""

from collections.abc import Sequence
from typing import Union

import msgspec

from ....net.asgi import Send
from ....net.request import end_to_end
from ..client_request import Reply

_NOT_FORWARDED_TO_CALLERS = frozenset(("content-length", "keep-alive"))
"""Headers of a server's answer that apply only to the connection to that server."""


async def write_reply(
    reply: Reply, send: Send, *, close: bool, more_headers: Sequence[tuple[str, str]] = ()
) -> None:
    """Write a final answer, and take its body away from it chunk by chunk.

    Args:
        reply: The answer.
        send: ASGI send.
        close: True to close the connection after it.
        more_headers: Headers beside those of the answer.
    """
    headers, chunks = _encoded(reply)
    raw = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in (*headers, *more_headers)
    ]
    raw.append((b"content-length", b"%d" % sum(len(chunk) for chunk in chunks)))
    if close:
        raw.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": reply.status, "headers": raw})
    while len(chunks) > 1:
        await send({"type": "http.response.body", "body": chunks.pop(0), "more_body": True})
    await send({"type": "http.response.body", "body": chunks.pop() if chunks else b""})


def _encoded(reply: Reply) -> tuple[list[tuple[str, str]], list[Union[bytes, bytearray]]]:
    """Return the headers and the chunks of the body of an answer."""
    if reply.answer is not None:
        returned = end_to_end(list(reply.answer.headers))
        return [h for h in returned if h[0] not in _NOT_FORWARDED_TO_CALLERS], reply.answer.chunks
    assert reply.refusal is not None
    headers = [("content-type", "application/json")]
    if reply.retry_after_s is not None:
        headers.append(("retry-after", f"{reply.retry_after_s:g}"))
    return headers, [msgspec.json.encode({"reason": reply.refusal.value})]
