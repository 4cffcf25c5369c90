"""Requests of a real process beside fetches of its metrics, with thousands of routes."""

import asyncio
import json
import time

from .gateway_process import CONFIGURATION, HOST, GatewayCase

_ROUTES = 2400
"""Routes that have answered; the largest configuration that the store takes has some 4,000."""

_MAX_ANSWER_S = 0.3
"""Bound of the target on the longest answer beside two fetches at the same time."""

_CALLERS = 10
_ASKERS = 10
_FETCHES = 3


class MetricsFetch(GatewayCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for backend in self.backends:
            backend.work_s = 0.001
        routes = [
            {
                "Name": f"n{number}",
                "PathPrefix": f"/r{number}/",
                "RouteType": "safe",
                "Timeout": "3s",
                "Service": "rates",
            }
            for number in range(_ROUTES)
        ]
        hosts = [{"Hostname": HOST, "Paths": [*CONFIGURATION["Hosts"][0]["Paths"], *routes]}]
        table = {**CONFIGURATION, "Version": "r9", "Hosts": hosts}
        self.store.put("op/config", json.dumps(table).encode())

        async def in_force() -> bool:
            return "configuration_version 9\n" in await self._metrics()

        await self.until(in_force, "the routes to be in force")
        waiting = iter(range(_ROUTES))
        await asyncio.gather(*(self._ask_routes(waiting) for _ in range(_ASKERS)))

    async def _metrics(self) -> str:
        async with self.session.get(f"http://{self.vms[0].ip}:9464/metrics") as response:
            return await response.text()

    async def _ask(self, streams, path: str) -> int:
        """Send a request on a kept connection, and return the status of its answer."""
        reader, writer = streams
        writer.write(
            f"GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {path}\r\n\r\n".encode()
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = head.partition("content-length:")[2].partition("\r\n")[0]
        await reader.readexactly(int(length))
        return int(head.split()[1])

    async def _connect(self):
        host, port = self.vms[0].addresses["Front"].split(":")
        return await asyncio.open_connection(host, int(port))

    async def _ask_routes(self, waiting) -> None:
        """Send one request on each route."""
        streams = await self._connect()
        for number in waiting:
            self.assertEqual(await self._ask(streams, f"/r{number}/1"), 200)
        streams[1].close()

    async def _longest_answer_s(self, name: int) -> float:
        """Send one request after the other until cancelled; return the longest time."""
        streams = await self._connect()
        longest_s = 0.0
        number = 0
        try:
            while True:
                number += 1
                started = time.monotonic()
                await self._ask(streams, f"/rates/{name}-{number}")
                longest_s = max(longest_s, time.monotonic() - started)
        except asyncio.CancelledError:
            return longest_s
        finally:
            streams[1].close()

    async def test_fetches_of_the_metrics_delay_no_request(self) -> None:
        # Guards against a fetch of the metrics that stops the event loop while it renders thousands
        # of routes.
        callers = [asyncio.create_task(self._longest_answer_s(n)) for n in range(_CALLERS)]
        await asyncio.sleep(0.2)
        for _ in range(_FETCHES):
            texts = await asyncio.gather(self._metrics(), self._metrics())
            for text in texts:
                self.assertEqual(text.count('latency_ms{route="n'), 3 * _ROUTES)
        for caller in callers:
            caller.cancel()
        longest_s = max(await asyncio.gather(*callers))
        self.assertLess(
            longest_s, _MAX_ANSWER_S, [row for row in text.splitlines() if "loop_" in row]
        )
