"""Neighbours that complete each other where the store is out of reach, and what watching costs."""

import json
import unittest

from sprucewinch.gateway.following.deltas import fetch_delta
from standins.consortium_store import Fault

from .gateway_process import CONFIGURATION, GatewayCase


class TurnedAway(GatewayCase):
    machines = 2

    async def test_a_machine_that_the_store_turns_away_learns_from_its_neighbour(self) -> None:
        first, second = self.vms
        await self.until(lambda: self._knows_all(first), "the machines to know each other")
        self.store.faults_by_machine[second.name] = Fault.BUSY
        await self.until(lambda: self._lost_store(second), "the machine to be turned away")
        table = {**CONFIGURATION, "Version": "r9"}
        self.store.put("op/config", json.dumps(table).encode())
        await self.until(lambda: self._version(second, 9), "the version to arrive")

    async def _knows_all(self, vm) -> bool:
        return len(await self.named(vm)) == 2

    async def _lost_store(self, vm) -> bool:
        return any(line["event"] == "store" and not line["up"] for line in vm.lines)

    async def _version(self, vm, version: int) -> bool:
        async with self.session.get(f"http://{vm.ip}:9464/state") as response:
            state = json.loads(await response.read())
        return state["configuration_version"] == version


class Unreachable(unittest.IsolatedAsyncioTestCase):
    async def test_a_neighbour_that_is_not_there_says_nothing(self) -> None:
        self.assertIsNone(await fetch_delta("127.0.0.1:9", 0))
