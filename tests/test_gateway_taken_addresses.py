"""Backend servers whose address belongs to another server, while their entry is still in the store.

The other server answers each request with 421 and does not run it. Every further attempt would cost
a retry, so a VM sends such a server nothing until its entry is removed.
"""

import unittest

from standins.virtual import VirtualLoop, pass_time, run_virtual

from .gateway_fakes import PipelineFixture, route

_REQUESTS = 4


class TakenAddresses(unittest.TestCase):
    def test_a_server_whose_address_another_took_gets_one_request(self) -> None:
        self.assertEqual(run_virtual(lambda loop: _asked(loop, stated=False)), 1)

    def test_it_also_gets_one_if_the_other_states_that_it_did_not_run_it(self) -> None:
        self.assertEqual(run_virtual(lambda loop: _asked(loop, stated=True)), 1)


async def _asked(loop: VirtualLoop, *, stated: bool) -> int:
    """Return how many of `_REQUESTS` requests reach a server whose address another one took.

    Args:
        loop: The loop.
        stated: True if the other server also states that it did not run them.
    """
    path = PipelineFixture(loop)
    path.world.configure(route(repeatable=False))
    taken = path.first()
    taken.server_id = "somebody-else"
    taken.misdirected_not_run = stated
    for number in range(_REQUESTS):
        await path.pipeline.run(path.request(f"q{number}"))
        await pass_time(0.2)
    return len(taken.arrivals)


if __name__ == "__main__":
    unittest.main()
