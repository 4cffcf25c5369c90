"""Entry VMs that lose their links to all backend servers.

Owns the trouble. Relies on `tools.server_links`, which fails the connections in the VM's own
process. The durations only have to vary.
"""

import asyncio

from tools.entry_vm import EntryVm
from tools.server_links import CUTS, LinkFault, set_fault

from ..ledger import SERVERS, LinkCut
from ..promises.evidence import CONTACT_S
from .trouble import Trouble


class LoseLinks(Trouble):
    """Some entry VMs lose their links for longer than `CONTACT_S`; they excuse no entry VM."""

    scope = SERVERS

    async def _inject(self) -> None:
        vms = tuple(self.world.vms.values())
        chosen = self.rng.sample(vms, self.rng.randint(1, len(vms) - 1))
        await asyncio.gather(*(self._cut(vm, self.rng.choice(CUTS)) for vm in chosen))

    async def _cut(self, vm: EntryVm, fault: LinkFault) -> None:
        cuts, loop = self.world.ledger.link_cuts, self.world.loop
        cut = LinkCut(vm.name, loop.time(), float("inf"))
        cuts.append(cut)
        set_fault(vm.settings, fault)
        await asyncio.sleep(CONTACT_S + self.for_s)
        cuts[cuts.index(cut)] = cut._replace(end=loop.time())
        if not any(other.vm == vm.name and other.end > loop.time() for other in cuts):
            set_fault(vm.settings, LinkFault.NONE)
