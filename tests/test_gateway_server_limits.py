"""Servers that state a limit get no more than that from the whole fleet.

The tests guard against a failure in which nothing read the limits that servers stated. Two servers
stated limits of 3.3 and 5.1 requests a second and got 8 and 12 requests a second before and after:
33 and 43 requests in 4 s, where 25 and 36 were allowed. Of the 121 sends to the first server, 119
were answered first tries, so neither retries nor another path around a limit caused the excess, and
no VM logged the limits.

A server therefore gets what it states from the whole fleet, whichever VM received the statement,
and its objects go to other servers meanwhile. If all servers are at their limits, callers are
refused at once with a time to return. A server that no longer states a limit gets its usual share
again.
"""

import unittest

from standins.virtual import VirtualLoop, pass_time, run_virtual

from .statement_fleet import StatementFleet, allowed, broken_bounds, most_in_window

CONTACT_S = 4.0
"""Time from the first statement of a limit until the whole fleet keeps it, in seconds."""


class Limits(unittest.TestCase):
    def test_a_server_gets_what_it_states_and_callers_are_still_served(self) -> None:
        broken = {
            "one server": run_virtual(_one_server),
            "all servers": run_virtual(_all_servers),
            "the limit ends": run_virtual(_end),
        }
        self.assertEqual({case: found for case, found in broken.items() if found}, {})

    def test_a_value_that_is_no_limit_limits_nothing(self) -> None:
        for text in ("many", "-1", "nan", "1e999"):
            with self.subTest(text=text):
                run_virtual(lambda loop, text=text: self._no_limit(loop, text))

    async def _no_limit(self, loop: VirtualLoop, text: str) -> None:
        fleet = await StatementFleet.start(loop)
        server = fleet.servers()[0]
        began = loop.time()
        usual = sum(began - 3.0 <= at for at in server.arrivals) / 3.0
        server.says["Server-Limit"] = text
        await pass_time(5.0)
        after = sum(began <= at for at in server.arrivals) / 5.0
        self.assertGreater(after, 0.7 * usual)
        self.assertEqual(fleet.served(began, began + 4.0), 1.0)


async def _one_server(loop: VirtualLoop) -> list[str]:
    """Return the broken bounds while one server states a limit."""
    fleet = await StatementFleet.start(loop)
    server = fleet.servers()[0]
    server.says["Server-Limit"] = "5"
    since = loop.time() + CONTACT_S
    await pass_time(CONTACT_S + 12.0)
    used = sum(since <= at for at in server.arrivals) / 12.0
    return broken_bounds(
        most=(most_in_window(server.arrivals, since), "<=", allowed(5)),
        used_per_s=(used, ">=", 0.7 * 5),
        others_served=(fleet.served(since, since + 12.0), ">=", 0.99),
    )


async def _all_servers(loop: VirtualLoop) -> list[str]:
    """Return the broken bounds while all servers state limits far below the demand."""
    fleet = await StatementFleet.start(loop)
    for server in fleet.servers():
        server.says["Server-Limit"] = "3"
    since = loop.time() + CONTACT_S
    await pass_time(CONTACT_S + 12.0)
    rows = [row for row in fleet.callers.rows if since <= row[0] < since + 11.0]
    refused = [row for row in rows if row[2] != 200]
    most = max(most_in_window(server.arrivals, since) for server in fleet.servers())
    return broken_bounds(
        most=(most, "<=", allowed(3)),
        served_per_s=(sum(row[2] == 200 for row in rows) / 11.0, ">=", 14),
        refused=(len(refused), ">=", 1),
        no_promise=(sum(row[2] != 503 for row in refused), "<=", 0),
        longest_s=(max((row[1] for row in refused), default=0.0), "<=", 1.0),
        without_time=(sum(row[3] is None for row in refused), "<=", 0),
    )


async def _end(loop: VirtualLoop) -> list[str]:
    """Return the broken bounds after the end of a limit."""
    fleet = await StatementFleet.start(loop)
    server = fleet.servers()[0]
    began = loop.time()
    usual = sum(began - 3.0 <= at for at in server.arrivals) / 3.0
    server.says["Server-Limit"] = "3"
    await pass_time(CONTACT_S + 8.0)
    limited = sum(began + CONTACT_S <= at for at in server.arrivals) / 8.0
    del server.says["Server-Limit"]
    await pass_time(6.0)
    ended = loop.time()
    await pass_time(4.0)
    again = sum(ended <= at for at in server.arrivals) / 4.0
    return broken_bounds(limited_per_s=(limited, "<=", 3.6), again_per_s=(again, ">=", 0.7 * usual))


if __name__ == "__main__":
    unittest.main()
