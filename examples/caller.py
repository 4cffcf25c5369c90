"""A whole caller: looks up, keeps the answer, reads a rate, and books a load once.

Run it against any entry VM: `python examples/caller.py 127.0.0.1:7001 10.1.2.0/24`.
"""

import asyncio
import sys
import time
import uuid
from http import HTTPStatus
from typing import Any, Optional

import aiohttp

_TRIES = 4
_PAUSE_S = 0.2


class Caller:
    """Callers of one client block.

    Args:
        session: HTTP client.
        entry_vm: Address of any entry VM.
        block: The client block.
    """

    def __init__(self, session: aiohttp.ClientSession, entry_vm: str, block: str) -> None:
        self.session = session
        self.entry_vm = entry_vm
        self.block = block
        self._kept: dict[str, tuple[float, list[str]]] = {}

    async def entry_vms(self, service: str) -> list[str]:
        """Return entry VMs in order; asks only when the kept answer has run out."""
        until, addresses = self._kept.get(service, (0.0, []))
        if time.monotonic() < until:
            return addresses
        url = f"http://{self.entry_vm}/v1/lookup"
        params = {"service": service, "block": self.block}
        async with self.session.get(url, params=params) as response:
            answer = await response.json()
        if "entry_vms" not in answer:
            raise RuntimeError(f"look-up refused: {answer}")
        addresses = [vm["address"] for vm in answer["entry_vms"]]
        self._kept[service] = (time.monotonic() + answer["ttl_ms"] / 1000, addresses)
        return addresses

    async def read(self, service: str, path: str) -> str:
        """Ask a service that may be asked again."""
        for _ in range(_TRIES):
            for address in await self.entry_vms(service):
                url = f"http://{address}/s/{service}/{path}"
                try:
                    async with self.session.get(url, headers=self._headers()) as response:
                        if response.status == HTTPStatus.OK:
                            return await response.text()
                        refused = await response.json()
                except aiohttp.ClientError:
                    continue
                await asyncio.sleep(refused["retry_after_ms"] / 1000)
                break
        raise RuntimeError(f"{service} did not answer")

    async def once(self, service: str, path: str, body: bytes) -> str:
        """Run an operation that must not run twice.

        A refusal as not run is tried again under a new ticket. Anything that is not certain is
        asked again under the same ticket: its home answers with what became of it.
        """
        home = (await self.entry_vms(service))[0]
        ticket = await self._ticket(home, service)
        for _ in range(_TRIES):
            outcome, text = await self._send(home, service, path, body, ticket)
            if outcome == "answered":
                return text
            if outcome == "not-run":
                ticket = await self._ticket(home, service)
            await asyncio.sleep(_PAUSE_S)
        raise RuntimeError(f"look the operation up at the service itself; ticket {ticket}")

    async def _ticket(self, address: str, service: str) -> str:
        url = f"http://{address}/v1/tickets?service={service}"
        async with self.session.post(url) as response:
            answer: Any = await response.json()
        return answer["tickets"][0]

    async def _send(
        self, address: str, service: str, path: str, body: bytes, ticket: str
    ) -> tuple[str, str]:
        headers = self._headers(ticket)
        url = f"http://{address}/s/{service}/{path}"
        try:
            async with self.session.post(url, data=body, headers=headers) as response:
                text = await response.text()
                return response.headers.get("sprucewinch-outcome", "unknown"), text
        except aiohttp.ClientError:
            return "unknown", ""

    def _headers(self, ticket: Optional[str] = None) -> dict[str, str]:
        headers = {"sprucewinch-client-block": self.block, "operation": uuid.uuid4().hex}
        if ticket is not None:
            headers["sprucewinch-ticket"] = ticket
        return headers


async def main(entry_vm: str, block: str) -> None:
    """Read a rate and book a load."""
    async with aiohttp.ClientSession() as session:
        caller = Caller(session, entry_vm, block)
        print("rate:", await caller.read("rates", "quote?lane=7"))
        print("booked:", await caller.once("booking", "book", b"load 4711"))


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:3]))
