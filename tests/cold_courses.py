"""Courses in which backend servers turn cold beside starts of VMs and outages of the store."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from standins.consortium_store import Fault
from standins.virtual import pass_time

from .limit_fleet import LimitFleet


async def lapse_registrations(fleet: LimitFleet) -> None:
    """Let the registrations of all VMs lapse while the store is away."""
    fleet.store.fault = Fault.RESET
    await pass_time(3.0)
    for key in [key for key in fleet.store.items if "/members/" in key]:
        fleet.store.remove(key)
    fleet.store.fault = Fault.NONE


_COLD = ("i-0", "i-1", "i-2")
_COLD_S = 5.0

_STORE_BACK_S = 1.0
"""Time from the store's return until all VMs follow it again, in seconds."""

_SHORT_DOWN_S = 0.3
"""Time from the end of a VM's process until its next one takes requests, in seconds; so short that
a second holds requests of both."""


async def _turns_cold(fleet: LimitFleet) -> None:
    for server_id in _COLD:
        fleet.turn_cold(server_id, _COLD_S)


async def _turns_cold_without_the_store(fleet: LimitFleet) -> None:
    fleet.store.fault = Fault.RESET
    await pass_time(3.0)
    await _turns_cold(fleet)
    await pass_time(_COLD_S)
    fleet.store.fault = Fault.NONE


async def _starts_again(fleet: LimitFleet) -> None:
    await asyncio.gather(*(fleet.start_server_again(each, 0.5, _COLD_S) for each in _COLD))


async def _starts_again_without_the_store(fleet: LimitFleet) -> None:
    fleet.store.fault = Fault.RESET
    await pass_time(3.0)
    await _starts_again(fleet)
    await pass_time(_COLD_S)
    fleet.store.fault = Fault.NONE


async def _start_again(fleet: LimitFleet, share: float = 1.0, down_s: float = 0.6) -> None:
    """Kill a share of the VMs and start them again, all at once."""
    starting = round(share * len(fleet.vms))
    await asyncio.gather(*(fleet.restart_vm(number, down_s) for number in range(starting)))


async def _returns_from_a_copy(fleet: LimitFleet, share: float) -> None:
    copy = fleet.store.copy()
    await pass_time(1.6)
    fleet.store.fault = Fault.RESET
    await pass_time(0.5)
    await _turns_cold(fleet)
    await pass_time(0.5)
    fleet.writes_entries = False
    fleet.store.return_from(copy)
    fleet.store.fault = Fault.NONE
    await _start_again(fleet, share)
    await pass_time(3.0)
    fleet.writes_entries = True


async def _evacuation_ends(fleet: LimitFleet, share: float = 1.0) -> None:
    fleet.store.put("op/evacuate/east-a", b"{}")
    await pass_time(3.0)
    fleet.writes_entries = False
    for server_id, process in fleet.processes.items():
        if process.hall == "east-a":
            fleet.turn_cold(server_id, _COLD_S)
    fleet.store.remove("op/evacuate/east-a")
    await _start_again(fleet, share)
    await pass_time(1.5)
    fleet.writes_entries = True


async def _registrations_lapse(fleet: LimitFleet) -> None:
    await lapse_registrations(fleet)
    await _turns_cold(fleet)
    await pass_time(_COLD_S)


async def _registrations_are_revoked(fleet: LimitFleet) -> None:
    """The store takes what all VMs but one register at once away again."""
    revoked = [f"sprucewinch/members/vm{number}" for number in range(1, len(fleet.vms))]
    for step in range(60):
        for key in revoked:
            fleet.store.remove(key)
        if step == 20:
            await _turns_cold(fleet)
        await pass_time(0.1)


async def _turns_cold_before_starts(
    fleet: LimitFleet, share: float, *, pause_s: float = 0.3, down_s: float = 0.6
) -> None:
    """Servers turn cold and write so; shortly after, VMs start again."""
    await _turns_cold(fleet)
    await pass_time(pause_s)
    await _start_again(fleet, share, down_s)


async def _turns_cold_amid_starts_in_series(fleet: LimitFleet) -> None:
    """All VMs start several times, the last ones not yet settled, while servers turn cold."""
    await _start_again(fleet, 1.0, _SHORT_DOWN_S)
    await pass_time(1.0)
    await _turns_cold(fleet)
    for _ in range(3):
        await _start_again(fleet, 1.0, _SHORT_DOWN_S)
        await pass_time(0.5)


async def _turns_cold_amid_starts_one_by_one(fleet: LimitFleet) -> None:
    """One VM after the other starts again while servers are cold."""
    await _turns_cold(fleet)
    for number in range(len(fleet.vms)):
        fleet.loop.create_task(fleet.restart_vm(number, _SHORT_DOWN_S))
        await pass_time(_COLD_S / 2 / len(fleet.vms))


async def _registrations_lapse_before_starts(fleet: LimitFleet, share: float) -> None:
    await lapse_registrations(fleet)
    await pass_time(_STORE_BACK_S)
    await _turns_cold_before_starts(fleet, share)
    await pass_time(_COLD_S)


async def _registrations_lapse_as_all_start(fleet: LimitFleet) -> None:
    """No VM finds a registration at its start, and servers are cold by their health alone."""
    fleet.store.fault = Fault.RESET
    await pass_time(3.0)
    for number in range(len(fleet.vms)):
        fleet.kill_vm(number)
    for key in [key for key in fleet.store.items if "/members/" in key]:
        fleet.store.remove(key)
    fleet.writes_entries = False
    await _turns_cold(fleet)
    fleet.store.fault = Fault.NONE
    await pass_time(0.6)
    for number in range(len(fleet.vms)):
        fleet.start_vm(number)
    await pass_time(2.0)
    fleet.writes_entries = True


class ColdCourse(NamedTuple):
    """How servers turn cold.

    Args:
        name: Its name, for messages.
        run: The course.
        grace_s: Time for which no VM can know, in seconds.
    """

    name: str
    run: Callable[[LimitFleet], Awaitable[None]]
    grace_s: float = 0.0


HEALTH_GRACE_S = 1.0
"""Time within which VMs have to know what only health answers tell, in seconds."""

COLD_COURSES = (
    ColdCourse("cold", _turns_cold),
    ColdCourse("cold without the store", _turns_cold_without_the_store, HEALTH_GRACE_S),
    ColdCourse("started again", _starts_again),
    ColdCourse("started again without the store", _starts_again_without_the_store, HEALTH_GRACE_S),
    ColdCourse("copy, half start", lambda f: _returns_from_a_copy(f, 0.5), HEALTH_GRACE_S),
    ColdCourse("copy, all start", lambda f: _returns_from_a_copy(f, 1.0), HEALTH_GRACE_S),
    ColdCourse("evacuation ends, all start", _evacuation_ends),
    ColdCourse("registrations lapse", _registrations_lapse, HEALTH_GRACE_S),
    ColdCourse("registrations are revoked", _registrations_are_revoked),
)

START_COURSES = (
    ColdCourse("evacuation ends, half start", lambda f: _evacuation_ends(f, 0.5)),
    ColdCourse("cold, half start", lambda f: _turns_cold_before_starts(f, 0.5)),
    ColdCourse("cold, all start", lambda f: _turns_cold_before_starts(f, 1.0)),
    ColdCourse(
        "cold, all start at once within the second",
        lambda f: _turns_cold_before_starts(f, 1.0, pause_s=0.1, down_s=_SHORT_DOWN_S),
    ),
    ColdCourse("cold, starts in series", _turns_cold_amid_starts_in_series),
    ColdCourse("cold, starts one by one", _turns_cold_amid_starts_one_by_one),
    ColdCourse(
        "registrations lapse, half start", lambda f: _registrations_lapse_before_starts(f, 0.5)
    ),
    ColdCourse(
        "registrations lapse, all start", lambda f: _registrations_lapse_before_starts(f, 1.0)
    ),
    ColdCourse("no registrations, all start", _registrations_lapse_as_all_start, HEALTH_GRACE_S),
)
