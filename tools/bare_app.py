"""A bare ASGI application under the daemon's own server: the baseline for its cost."""

import asyncio

import fire

from sprucewinch._http_server import bind, make_server
from sprucewinch.settings import Limits

_BODY = b"x" * 400
_HEADERS = [(b"content-type", b"application/json"), (b"content-length", b"400")]


async def _app(_scope: dict, _receive, send) -> None:
    await send({"type": "http.response.start", "status": 200, "headers": _HEADERS})
    await send({"type": "http.response.body", "body": _BODY})


def serve(address: str) -> None:
    """Serve on an address until ended."""
    import uvloop

    async def run() -> None:
        server = make_server(_app, Limits())
        await server.serve(sockets=[bind("address", address)])

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


if __name__ == "__main__":
    fire.Fire(serve)
