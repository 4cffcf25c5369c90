"""Keys and limits of workspaces with real processes: two VMs, callers, an operator."""

import asyncio
import json
import unittest
from collections import Counter

from .gateway_process import CONFIGURATION, HOST, GatewayCase

_KEY = "key-of-the-shipper"
_OTHER = "key-of-the-desk"
_WORKSPACES = [
    {"Name": "shipper", "ApiKeys": [_KEY], "RatePerS": 4, "Burst": 4},
    {"Name": "desk", "ApiKeys": [_OTHER], "RatePerS": 50, "Burst": 50},
]


class Workspaces(GatewayCase):
    vm_count = 2

    async def test_limits_and_keys_over_two_vms(self) -> None:
        self.write("r4", _WORKSPACES)
        await self.until(lambda: self.answers("", 401), "the keys to be asked for")
        statuses, later = await self.hot_caller(200)
        with self.subTest("one workspace beyond its limit, the other as always"):
            allowed = (4 * 5 + 4) * 1.1 + 20
            self.assertLessEqual(statuses[200], allowed, statuses)
            self.assertGreater(statuses[429], 50, statuses)
            self.assertTrue(all(0.05 <= seconds <= 2.5 for seconds in later), later)
            self.assertTrue(await self.answers(_OTHER, 200))
        with self.subTest("what operators see of it, without a key"):
            status, output = await self.operate("workspaces")
            self.assertEqual(status, 0, output)
            self.assertIn("shipper: 4 a second and 4 at once", output)
            self.assertRegex(output, r"refused at vm\d \(\d+\)")
            self.assertNotIn("key-of", output)
        with self.subTest("a key that is taken away"):
            self.write("r5", [_WORKSPACES[0], {**_WORKSPACES[1], "ApiKeys": ["another"]}])
            await self.until(lambda: self.answers(_OTHER, 401), "the key to be refused")
            self.assertTrue(await self.answers("another", 200))
        lines = [json.dumps(line) for vm in self.vms for line in vm.lines]
        self.assertEqual([line for line in lines if "key-of" in line][:1], [])

    def write(self, version: str, workspaces: list[dict]) -> None:
        """Write a configuration with workspaces."""
        table = {**CONFIGURATION, "Version": version, "Tenants": workspaces}
        self.store.put("op/config", json.dumps(table).encode())

    async def answers(self, key: str, status: int) -> bool:
        """Return whether both VMs answer a key with a status."""
        found = [(await self.send(vm, key, "a"))[0] for vm in self.vms]
        return found == [status] * len(self.vms)

    async def hot_caller(self, requests: int) -> tuple[Counter[int], list[float]]:
        """Send many requests of one workspace; returns their statuses and times to come back."""
        vms = [self.vms[number % 2] for number in range(requests)]
        ends = await asyncio.gather(*(self.send(vm, _KEY, str(n)) for n, vm in enumerate(vms)))
        later = [seconds for status, seconds in ends if status == 429]
        return Counter(status for status, _ in ends), later

    async def send(self, vm, key: str, name: str) -> tuple[int, float]:
        """Send one request; returns its status and when it may come back, in seconds."""
        headers = {
            "Host": HOST,
            "X-Request-Id": f"q{len(key)}-{name}",
            "X-Request-Deadline-Ms": "9000",
        }
        if key:
            headers["Api-Key"] = key
        url = f"http://{vm.addresses['Front']}/rates/{name}"
        async with self.session.get(url, headers=headers) as response:
            await response.read()
            return response.status, float(response.headers.get("Retry-After", 0))


if __name__ == "__main__":
    unittest.main()
