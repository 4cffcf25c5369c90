"""What an entry VM asks the platform's store, byte by byte, as the first release has it.

See `test_formats` for why the literals stay when the code is renamed.
"""

import asyncio
import contextlib
import unittest
from collections.abc import Awaitable
from typing import Any

from sprucewinch.gateway.state.replica import Item
from sprucewinch.gateway.state.store import Store, StoreUnavailableError
from standins.virtual import VirtualLoop, run_virtual

from .formats_gateway import STORE, VirtualGateway

MEMBER = (
    b'{"name":"vm1","zone":"east-a","region":"east","caller_address":"10.1.0.34:1",'
    b'"peer_address":"10.1.0.34:7540"}'
)
LISTING = b"GET /sprucewinch/kv-range?PathPrefix= HTTP/1.1\r\nhost: 10.9.0.1:80\r\n\r\n"
WATCH = (
    b"GET /sprucewinch/kv-watch?PathPrefix=&after=42&WaitMs=2300 HTTP/1.1\r\n"
    b"host: 10.9.0.1:80\r\n\r\n"
)
CHANGE = (
    b"POST /sprucewinch/kv-txn HTTP/1.1\r\nhost: 10.9.0.1:80\r\n"
    b"content-type: application/json\r\ncontent-length: %d\r\n\r\n%s"
)
WRITE = (
    b'{"ExpectedRevision":[],"put":[{"TlsKey":"sprucewinch/policies/mine","Value":"e30=",'
    b'"lease":0}],"Remove":[]}'
)
REMOVE = (
    b'{"ExpectedRevision":[{"TlsKey":"sprucewinch/members/vm0","Revision":41}],"put":[],'
    b'"Remove":["sprucewinch/members/vm0"]}'
)


def calls(store: Store) -> list[Awaitable[Any]]:
    """Return one call of each kind: everything, a watch, a write, a removal."""
    return [
        store.listing(),
        store.watch(42, 2.3),
        store.write("sprucewinch/policies/mine", b"{}"),
        store.remove(Item("sprucewinch/members/vm0", b"", 41)),
    ]


class _Silent(asyncio.Protocol):
    """Keeps what it is sent and answers nothing."""

    def __init__(self, kept: list[bytes]) -> None:
        self.kept = kept

    def data_received(self, data: bytes) -> None:
        self.kept.append(data)


class Requests(unittest.TestCase):
    def test_each(self) -> None:
        async def main(loop: VirtualLoop) -> list[bytes]:
            kept: list[bytes] = []
            vm = VirtualGateway(loop)
            loop.listen(STORE, lambda: _Silent(kept))
            for request in calls(vm.gateway.state.store):
                with contextlib.suppress(StoreUnavailableError):
                    await request
            return kept

        changes = [CHANGE % (len(body), body) for body in (WRITE, REMOVE)]
        self.assertEqual(run_virtual(main), [LISTING, WATCH, *changes])

    def test_a_vm_registers_itself(self) -> None:
        async def main(loop: VirtualLoop) -> tuple[Any, bytes]:
            vm = await VirtualGateway(loop).started()
            known = vm.gateway.state.view.replica.items
            return sorted(vm.store.items), known["sprucewinch/members/vm1"].value

        self.assertEqual(run_virtual(main), (["op/config", "sprucewinch/members/vm1"], MEMBER))
