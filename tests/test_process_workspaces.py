"""API keys and rate limits of workspaces across two VMs as real processes."""

import asyncio
import json
import unittest
from collections import Counter

from .gateway_process import CONFIGURATION, HOST, GatewayCase

_SHIPPER_KEY = "key-of-the-shipper"
_DESK_KEY = "key-of-the-desk"
_WORKSPACES = [
    {"Name": "shipper", "ApiKeys": [_SHIPPER_KEY], "RatePerS": 4, "Burst": 4},
    {"Name": "desk", "ApiKeys": [_DESK_KEY], "RatePerS": 50, "Burst": 50},
]


class Workspaces(GatewayCase):
    vm_count = 2

    async def test_limits_and_keys_over_two_vms(self) -> None:
        self.write_configuration("r4", _WORKSPACES)
        await self.until(lambda: self.both_answer("", 401), "requests without a key to be refused")
        statuses, retry_after_s = await self.send_over_limit(200)
        with self.subTest("one workspace is limited to its rate, the other is not affected"):
            allowed = (4 * 5 + 4) * 1.1 + 20
            self.assertLessEqual(statuses[200], allowed, statuses)
            self.assertGreater(statuses[429], 50, statuses)
            self.assertTrue(all(0.05 <= seconds <= 2.5 for seconds in retry_after_s), retry_after_s)
            self.assertTrue(await self.both_answer(_DESK_KEY, 200))
        with self.subTest("operators see rates and refusals, but no key"):
            status, output = await self.operate("workspaces")
            self.assertEqual(status, 0, output)
            self.assertIn("shipper: 4 a second and 4 at once", output)
            self.assertRegex(output, r"refused at vm\d \(\d+\)")
            self.assertNotIn("key-of", output)
        with self.subTest("a removed key is refused"):
            self.write_configuration(
                "r5", [_WORKSPACES[0], {**_WORKSPACES[1], "ApiKeys": ["another"]}]
            )
            await self.until(lambda: self.both_answer(_DESK_KEY, 401), "the key to be refused")
            self.assertTrue(await self.both_answer("another", 200))
        lines = [json.dumps(line) for vm in self.vms for line in vm.lines]
        self.assertEqual([line for line in lines if "key-of" in line][:1], [])

    def write_configuration(self, version: str, workspaces: list[dict]) -> None:
        """Write a configuration with workspaces to the store."""
        table = {**CONFIGURATION, "Version": version, "Tenants": workspaces}
        self.store.put("op/config", json.dumps(table).encode())

    async def both_answer(self, key: str, status: int) -> bool:
        """Return whether both VMs answer a request with this key with the given status."""
        found = [(await self.send(vm, key, "a"))[0] for vm in self.vms]
        return found == [status] * len(self.vms)

    async def send_over_limit(self, requests: int) -> tuple[Counter[int], list[float]]:
        """Send requests of one workspace at once.

        Returns:
            Counts by status, and `Retry-After` of those refused with 429, in seconds.
        """
        vms = [self.vms[number % 2] for number in range(requests)]
        ends = await asyncio.gather(
            *(self.send(vm, _SHIPPER_KEY, str(n)) for n, vm in enumerate(vms))
        )
        retry_after_s = [seconds for status, seconds in ends if status == 429]
        return Counter(status for status, _ in ends), retry_after_s

    async def send(self, vm, key: str, name: str) -> tuple[int, float]:
        """Send one request; returns its status and `Retry-After`, in seconds, or 0 without one."""
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
