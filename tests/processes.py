"""Base class of tests that run a small fleet of daemons as real processes.

The fleet has two regions by default and starts within seconds.
"""

import unittest
from typing import Any

import aiohttp
import msgspec

from tools.fleet import Fleet, Operator, Vm, wait_until
from tools.small import small_deployment

CALLER = "10.1.0.7"


class FleetCase(unittest.IsolatedAsyncioTestCase):
    """A test case that starts its own fleet and waits until it is configured and ready."""

    halls = 2
    vms_per_hall = 1
    servers = 1

    async def asyncSetUp(self) -> None:
        self.configuration = small_deployment(self.halls, self.servers)
        self.fleet = Fleet(self.configuration, vms_per_hall=self.vms_per_hall)
        self.addCleanup(self.fleet.kill_all)
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=20))
        self.addAsyncCleanup(self.session.close)
        self.fleet.start_standins()
        self.start_daemons()
        await self.apply_configuration()
        await self.until_ready(*self.fleet.vms.values())

    def start_daemons(self) -> None:
        """Start all daemons; test cases that need other settings override this."""
        self.fleet.start_daemons()

    async def apply_configuration(self) -> None:
        """Apply the configuration through the operators' port of the first VM."""
        operator = self.operator(self.vm(0))
        await wait_until(lambda: operator.get("/v1/status"), "the operators' port to answer")
        tables = msgspec.to_builtins(self.configuration)
        body = {"configuration": tables, "base": 0}

        async def applied() -> bool:
            status, _ = await operator.call("POST", "/v1/configuration", body)
            return status == 200

        await wait_until(applied, "the configuration to be applied")

    def vm(self, index: int) -> Vm:
        """Return a VM by its index in order of creation."""
        return list(self.fleet.vms.values())[index]

    def operator(self, vm: Vm, name: str = "test") -> Operator:
        """Return a client of a VM's operators' port."""
        return Operator(self.session, vm, name)

    async def until_ready(self, *vms: Vm) -> None:
        """Wait until each given VM sees all VMs of the fleet serving and holding slots."""
        for vm in vms:
            await wait_until(lambda vm=vm: self._ready(vm), f"{vm.name} to see all VMs serving")

    async def _ready(self, vm: Vm) -> bool:
        rows = (await self.operator(vm).get("/v1/status"))["vms"]
        ready = [row for row in rows if row["state"] == "serving" and row["slots"]]
        return len(ready) == len(self.fleet.vms)

    async def send(
        self, vm: Vm, service: str, query: str = "", *, method: str = "GET", **headers: str
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request to a service through a VM.

        Args:
            vm: Entry VM that receives the request.
            service: Name of the service.
            query: Query string for the stand-in, with its question mark.
            method: HTTP method.
            **headers: Further headers; an underscore in a name stands for a hyphen.

        Returns:
            Status, headers and body.
        """
        all_headers = {"sprucewinch-client-block": CALLER}
        all_headers.update({name.replace("_", "-"): value for name, value in headers.items()})
        url = f"http://{vm.caller}/s/{service}/work{query}"
        async with self.session.request(method, url, headers=all_headers) as response:
            return response.status, dict(response.headers), await response.read()

    async def ticket(self, vm: Vm) -> str:
        """Return a ticket for a booking, issued by a VM."""
        url = f"http://{vm.caller}/v1/tickets?service=booking"
        async with self.session.post(url) as response:
            return (await response.json())["tickets"][0]

    async def book(self, vm: Vm, operation: str, ticket: str, query: str = "") -> tuple[int, dict]:
        """Send a booking with a ticket; returns status and headers."""
        status, headers, _ = await self.send(
            vm, "booking", query, method="POST", operation=operation, sprucewinch_ticket=ticket
        )
        return status, headers

    async def runs(self, operation: str) -> int:
        """Return how often an operation ran, summed over all backend servers."""
        total = 0
        for pool in self.configuration.pool:
            for server in pool.servers:
                async with self.session.get(f"http://{server}/stand-in/runs") as response:
                    total += (await response.json())["runs"].get(operation, 0)
        return total

    async def server_post(self, server: str, path: str, body: Any) -> None:
        """Post a JSON body to a control path of a stand-in.

        Raises:
            aiohttp.ClientResponseError: When the stand-in answers with an error status.
        """
        async with self.session.post(f"http://{server}{path}", json=body) as response:
            response.raise_for_status()

    async def platform_faults(self, **faults: Any) -> None:
        """Set the faults that the stand-in of the platform injects."""
        await self.server_post(self.fleet.platform, "/stand-in/faults", faults)

    def pool(self, hall: str, service: str) -> str:
        """Return the address of the first backend server of a service in a data hall.

        Raises:
            KeyError: When the configuration has no such pool.
        """
        for pool in self.configuration.pool:
            if (pool.hall, pool.service) == (hall, service):
                return pool.servers[0]
        raise KeyError(hall, service)

    async def revision(self, vm: Vm) -> int:
        """Return the configuration revision in force at a VM."""
        return (await self.operator(vm).get("/v1/configuration"))["revision"]
