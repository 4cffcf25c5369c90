"""When a VM writes its registration."""

import unittest

from standins.virtual import VirtualLoop, pass_time, run_virtual

from .limit_fleet import ready


class Registrations(unittest.TestCase):
    def test_a_vm_that_starts_again_does_not_write_its_registration_again(self) -> None:
        """Each start wrote it, before the store's items had arrived."""

        async def main(loop: VirtualLoop) -> None:
            fleet = await ready(loop, vms=4)
            keys = [key for key in fleet.store.items if "/members/" in key]
            before = {key: fleet.store.items[key]["Revision"] for key in keys}
            for number in range(4):
                await fleet.restart_vm(number)
            await pass_time(4.0)
            self.assertEqual(len(keys), 4)
            self.assertEqual({key: fleet.store.items[key]["Revision"] for key in keys}, before)

        run_virtual(main)


if __name__ == "__main__":
    unittest.main()
