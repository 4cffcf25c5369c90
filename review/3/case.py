"""Case 3: after a refused upload a kept connection is read no more, and a caller waits for ever.

Callers keep connections for many requests. A new configuration removes a route; an upload that
still goes there gets 404 before its body is read, on a connection that stays open. The VM then
reads nothing more from that connection, so that the caller's next request there gets no answer.
"""

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Optional

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "review")]

from harness import (  # noqa: E402
    BROKEN,
    HELD,
    SERVICE,
    CannotRunError,
    Deployment,
    Record,
    Reply,
    ask,
    configuration,
    head,
    read_reply,
    run_case,
)

TIMEOUT_S = 2.0
"""`Timeout` of the route of the bookings, in seconds."""

DEADLINE_MS = 3000
"""Deadline of `quote-accept` and `manifest-upload`, in milliseconds."""

LATER_S = 0.5
"""Time after the route's `Timeout` at which the rule looks again, in seconds."""

MIN_LATE = 8
"""Requests from which the rule counts those that still lack a final answer."""

MIN_LATE_FRACTION = 0.25
"""Part of the requests beyond their `Timeout` from which the rule is broken."""

CALLERS = 24
UPLOAD_BYTES = 300_000
"""Size of an upload: the site file states 60 kB on average and 360 kB at most."""

BODY = b'{"lane": "YVR-YYC", "quote": "Q-2231", "load": "LD-77"}'

SETTLING_S = 3.5
"""Time that the VM is left alone before and after the change, in seconds: beyond `ConfigApply`
(2 s) and `Contact` (3 s)."""

WORK_S = 0.05
OK = 200


def route(name: str, prefix: str, kind: str) -> dict[str, object]:
    """Return a route of the configuration."""
    return {
        "Name": name,
        "PathPrefix": prefix,
        "RouteType": kind,
        "Service": SERVICE,
        "MaxAttempts": 2,
        "Timeout": f"{int(TIMEOUT_S * 1000)}ms",
        "TargetLatency": "400ms",
        "Priority": 1,
    }


BOOKINGS = route("quote-accept", "/book/", "unsafe")
UPLOADS = route("manifest-upload", "/manifests/", "upload")


class Caller:
    """A caller with one kept connection.

    Args:
        number: Its number.
        reader: Read side of the connection.
        writer: Write side of the connection.
    """

    def __init__(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.number = number
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes, wait_s: float) -> tuple[Optional[Reply], float]:
        """Send a request on the kept connection; return its answer, if any, and the time."""
        began = time.monotonic()
        try:
            async with asyncio.timeout(wait_s):
                self.writer.write(data)
                await self.writer.drain()
                return await read_reply(self.reader), time.monotonic() - began
        except TimeoutError:
            return None, time.monotonic() - began


async def open_callers(address: str) -> list[Caller]:
    """Open one kept connection for each caller."""
    host, port = address.split(":")
    return [
        Caller(number, *await asyncio.open_connection(host, int(port)))
        for number in range(1, CALLERS + 1)
    ]


async def case(record: Record, trouble: bool) -> int:
    """Remove a route, upload to it, and send the next request on each kept connection."""
    async with Deployment(record) as deployment:
        deployment.store.put("op/config", configuration([BOOKINGS, UPLOADS]))
        for server_id in ("i-1", "i-2"):
            await deployment.add_server(server_id, WORK_S)
        await deployment.start_vms()
        await asyncio.sleep(SETTLING_S)
        callers = await open_callers(deployment.vms[0].front)
        try:
            if trouble:
                table = json.loads(configuration([BOOKINGS]))
                deployment.store.put("op/config", json.dumps({**table, "Version": "r17"}).encode())
                record.write("the operator's configuration r17 removes the route manifest-upload")
            await asyncio.sleep(SETTLING_S)
            return await upload_and_book(deployment, record, callers)
        finally:
            for caller in callers:
                caller.writer.transport.abort()


async def upload_and_book(deployment: Deployment, record: Record, callers: list[Caller]) -> int:
    """Let each caller upload and then book on its kept connection; return the exit status."""

    async def one(caller: Caller) -> tuple[Optional[Reply], float]:
        upload_id, booking_id = f"upload-{caller.number}", f"booking-{caller.number}"
        data = head("POST", "/manifests/5", upload_id, DEADLINE_MS, UPLOAD_BYTES)
        reply, took_s = await caller.send(data + b"m" * UPLOAD_BYTES, DEADLINE_MS / 1000)
        if reply is None or not reply.whole or reply.headers.get("connection") == "close":
            raise CannotRunError(f"{upload_id} got no whole answer on a connection that stays open")
        record.write(f"{upload_id} after {took_s:.3f} s: {reply.text}")
        data = head("POST", "/book/LD-77", booking_id, DEADLINE_MS, len(BODY)) + BODY
        reply, took_s = await caller.send(data, DEADLINE_MS / 1000)
        text = "NO ANSWER" if reply is None else reply.text
        record.write(f"{booking_id}, next on this connection, after {took_s:.3f} s: {text}")
        return reply, took_s

    ends = await asyncio.gather(*(one(caller) for caller in callers))
    data = head("POST", "/book/LD-77", "control", DEADLINE_MS, len(BODY)) + BODY
    control = await ask(deployment.vms[0].front, data, DEADLINE_MS / 1000)
    record.write(f"a booking on a new connection: {control.text}")
    if control.status != OK:
        raise CannotRunError("the VM does not serve a booking on a new connection")
    outlasted = sum(took_s >= TIMEOUT_S for _, took_s in ends)
    late = sum(took_s >= TIMEOUT_S + LATER_S for _, took_s in ends)
    record.write(
        f"{len(ends)} bookings on kept connections: {outlasted} outlasted the route's Timeout of "
        f"{TIMEOUT_S:g} s, {late} of these lacked a final answer {LATER_S:g} s later"
    )
    return BROKEN if late >= MIN_LATE and late > outlasted * MIN_LATE_FRACTION else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
