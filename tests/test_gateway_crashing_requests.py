"""One request must not crash one backend server after another while the fleet keeps retrying it.

A caller sent the same request again and again, each time to another VM. Each VM took it for a new
one, sent it to a server, lost the connection and retried at the next server; nothing that outlived
one attempt identified the request, and rests and ejections named only the servers. It crashed
thirty servers. 27 servers lost their connections within 12 s, 25 of which had only this request in
common, and in the worst second 2 of 242 look-ups were answered in time.

Therefore a request that has crashed three servers may reach servers at most three more times once
every VM can know of it, and other requests are served meanwhile.
"""

import asyncio
import unittest

from standins.virtual import VirtualLoop, pass_time, run_virtual

from .crash_fleet import CRASHING_BOOKING, CRASHING_TARGET, Callers, CrashFleet, send_repeatedly

KNOWN_S = 3.0
"""Time from the third crash until every VM knows of the request, in seconds."""

MAX_LATER_SENDS = 3
"""Bound on the sends after that time."""


def sends_after_known(fleet: CrashFleet, target: str, since: float = 0.0) -> int:
    """Return the sends later than `KNOWN_S` after the third crash, or after `since` if later."""
    crashes = sorted(fleet.crashes.get(target, ()))
    if len(crashes) < 3:
        return 0
    return fleet.sends(target, after=max(crashes[2], since) + KNOWN_S)


class OneRequest(unittest.TestCase):
    def test_is_stopped_once_every_vm_can_know_and_others_are_served(self) -> None:
        later = {
            "may be repeated": run_virtual(_repeatable),
            "must not run twice": run_virtual(_not_repeatable),
            "after the loss of all VMs": run_virtual(_after_restart_of_all),
        }
        self.assertEqual({case: n for case, n in later.items() if n > MAX_LATER_SENDS}, {})
        self.assertGreaterEqual(run_virtual(_served_meanwhile), 0.97)

    def test_a_vm_that_hears_of_no_crash_serves_the_requests_beside_it(self) -> None:
        """They meet one crashed server after another, whose entries the store still holds."""
        self.assertEqual(run_virtual(_refused_beside), [])


async def _repeatable(loop: VirtualLoop) -> int:
    fleet = await CrashFleet(loop).ready()
    await send_repeatedly(fleet, CRASHING_TARGET, 20.0)
    return sends_after_known(fleet, CRASHING_TARGET)


async def _not_repeatable(loop: VirtualLoop) -> int:
    fleet = await CrashFleet(loop).ready()
    await send_repeatedly(fleet, CRASHING_BOOKING, 20.0, method="POST")
    return sends_after_known(fleet, CRASHING_BOOKING)


async def _after_restart_of_all(loop: VirtualLoop) -> int:
    fleet = await CrashFleet(loop).ready()
    await send_repeatedly(fleet, CRASHING_TARGET, 3.0)
    fleet.restart_all()
    started = loop.time()
    await pass_time(3.0)
    await send_repeatedly(fleet, CRASHING_TARGET, 12.0)
    return sends_after_known(fleet, CRASHING_TARGET, started)


async def _served_meanwhile(loop: VirtualLoop) -> float:
    fleet = await CrashFleet(loop).ready()
    callers = Callers(fleet)
    work = asyncio.create_task(callers.run())
    await send_repeatedly(fleet, CRASHING_TARGET, 20.0)
    work.cancel()
    return callers.answers["200"] / callers.asked


async def _refused_beside(loop: VirtualLoop) -> list[tuple]:
    """Return the plain requests that were not served while no datagram arrives."""
    fleet = await CrashFleet(loop, vms=3, servers=8).ready()
    fleet.loss_ratio = 1.0
    refused: list[tuple] = []
    for number in range(1, 9):
        await fleet.ask(number, CRASHING_TARGET)
        request = fleet.request(f"/rates/{number}")
        reply = await fleet.vms[number % 3].gateway.requests.pipeline.run(request)
        if reply.status != 200:
            attempts = [(attempt.server_id, attempt.cause) for attempt in request.attempts]
            refused.append((request.id, reply.status, reply.refusal, attempts))
        await pass_time(0.15)
    return refused


if __name__ == "__main__":
    unittest.main()
