"""Writes a final answer to a caller over ASGI.

Owns the form of this VM's own answers and which headers of a server's answer are returned. Relies
on the reply that `outcome.final_answer` made; decides nothing.
"""

import msgspec

from ....net.asgi import Send
from ....net.request import end_to_end
from ..client_request import Reply

_NOT_RETURNED = frozenset(("content-length", "keep-alive"))
"""Headers of a server's answer that belong to the connection to it."""


async def write_reply(reply: Reply, send: Send, *, close: bool) -> None:
    """Write a final answer.

    Args:
        reply: The answer.
        send: ASGI send.
        close: End the connection with it.
    """
    headers, body = _encoded(reply)
    raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    raw.append((b"content-length", b"%d" % len(body)))
    if close:
        raw.append((b"connection", b"close"))
    await send({"type": "http.response.start", "status": reply.status, "headers": raw})
    await send({"type": "http.response.body", "body": body})


def _encoded(reply: Reply) -> tuple[list[tuple[str, str]], bytes]:
    """Return the headers and the body of an answer."""
    if reply.answer is not None:
        returned = end_to_end(list(reply.answer.headers))
        return [h for h in returned if h[0] not in _NOT_RETURNED], reply.answer.body
    assert reply.refusal is not None
    headers = [("content-type", "application/json")]
    if reply.retry_after_s is not None:
        headers.append(("retry-after", f"{reply.retry_after_s:g}"))
    return headers, msgspec.json.encode({"reason": reply.refusal.value})
