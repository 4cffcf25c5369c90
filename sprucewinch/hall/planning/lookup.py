"""Look-ups: which entry VMs a caller uses for a service, and in which order.

Owns the encoded answers and a bounded cache of callers' keys; relies on `Topology` for regions and
distances (milliseconds), on `SharesInForce` for the shares in force, and on the caller for the VMs
that serve. A new table is built when the configuration or the serving VMs change.

The caller's address gives its client region and its block; the block's key and the shares give the
region. The answer names VMs of that region first, rotated by a byte of the key so that blocks are
spread over them, then those of other regions, nearest to the caller first. When the region has no
VM, those of the nearest region that has some come first.

All callers of one block get the same region from any VM that holds the same plan, and an answer is
a table access: 2.6 us with tables of the target size (`tools.bench_core`). Refusals are
`no-such-service`, `malformed`, `unknown-client` and `no-entry-vm`. The tests are
`tests.test_callers` and `tests.test_formats_own`.
"""

from collections.abc import Sequence
from typing import NamedTuple, Optional, Union

import msgspec

from ...net.outcome import Reason, Refusal, not_run
from ...steering.placement import block_key
from ..peers.peer_pb2 import Member
from .shares_in_force import SharesInForce
from .topology import Topology

MAX_ENTRY_VMS = 4
"""Most entry VMs named in one answer."""

_MAX_CACHED_KEYS = 8192
"""Most pairs of client and service whose keys are cached, to bound memory: a pair takes some 300
bytes. The cache is emptied when it is full."""

_RETRY_AFTER_MS = 1000
"""Time after which a caller may retry when no VM serves: one round of `loops.EXCHANGE_S`, in which
VMs learn of each other."""

_V4_BLOCK_SUFFIX = ".0"
"""Last part of the address of a /24 block."""


class EntryVm(msgspec.Struct, frozen=True):
    """An entry VM in the answer to a look-up."""

    vm: str
    hall: str
    region: str
    address: str


class LookupAnswer(msgspec.Struct, frozen=True):
    """The answer to a look-up.

    Args:
        service: Service asked for.
        region: Region that the client block is steered to.
        entry_vms: Entry VMs, in the order in which to use them.
        ttl_ms: Time for which the answer may be cached, in milliseconds.
        revision: Configuration revision in force.
    """

    service: str
    region: str
    entry_vms: tuple[EntryVm, ...]
    ttl_ms: int
    revision: int


class BlockPlacement(NamedTuple):
    """The region of a client block for a service, and the inputs that determine it.

    Args:
        client_region: Region of the callers.
        key: The block's key for the service.
        region: Region that the block is steered to.
    """

    client_region: str
    key: bytes
    region: str


def block_of(address: str) -> str:
    """Return the block that callers of an address share: a /24, or the text itself for IPv6."""
    host = address.partition("/")[0]
    head, dot, _ = host.rpartition(".")
    return head + _V4_BLOCK_SUFFIX if dot else host


class LookupTable:
    """Answers look-ups from tables, without I/O.

    Args:
        topology: The configuration in force.
        shares_in_force: Shares in force at this VM.
        members: Entry VMs that callers may be sent to.
    """

    def __init__(
        self, topology: Topology, shares_in_force: SharesInForce, members: Sequence[Member]
    ) -> None:
        self.topology = topology
        self.shares_in_force = shares_in_force
        self._by_region = self._entry_vms_by_region(members)
        self._answers: dict[tuple[str, str, str], list[bytes]] = {}
        self._keys: dict[tuple[str, str], tuple[str, bytes]] = {}

    def answer(self, client: str, service: str) -> Union[bytes, Refusal]:
        """Answer a look-up.

        Args:
            client: The caller's address or client block.
            service: Name of the service.

        Returns:
            The encoded answer, or a refusal.
        """
        place = self.place(client, service)
        if isinstance(place, Refusal):
            return place
        self.shares_in_force.answered_regions.add(place.client_region)
        key = (place.client_region, service, place.region)
        answers = self._answers.get(key)
        if answers is None:
            answers = self._answers[key] = self._encode(*key)
        if not answers:
            return not_run(Reason.NO_ENTRY_VM, _RETRY_AFTER_MS)
        return answers[place.key[0] % len(answers)]

    def place(self, client: str, service: str) -> Union[BlockPlacement, Refusal]:
        """Return the region that a client block is steered to, or a refusal."""
        cached = self._keys.get((client, service))
        if cached is None:
            located = self._locate(client, service)
            if isinstance(located, Refusal):
                return located
            cached = located
            if len(self._keys) >= _MAX_CACHED_KEYS:
                self._keys.clear()
            self._keys[(client, service)] = cached
        client_region, key = cached
        shares = self.shares_in_force.shares(client_region, service)
        return BlockPlacement(client_region, key, shares.region_of(key))

    def _locate(self, client: str, service: str) -> Union[tuple[str, bytes], Refusal]:
        """Return a client's region and key, which change only with the configuration."""
        if service not in self.topology.services:
            return not_run(Reason.NO_SUCH_SERVICE)
        try:
            client_region = self.topology.client_region(client)
        except ValueError:
            # No log line here: the refusal is the result, and it is counted by its reason.
            return not_run(Reason.MALFORMED)
        if client_region is None:
            return not_run(Reason.UNKNOWN_CLIENT)
        return client_region, block_key(block_of(client), service)

    def _entry_vms_by_region(self, members: Sequence[Member]) -> dict[str, list[EntryVm]]:
        by_region: dict[str, list[EntryVm]] = {region: [] for region in self.topology.order}
        for member in sorted(members, key=lambda m: (m.hall, m.vm)):
            if member.region in by_region and not self.topology.hall_drained(member.hall):
                entry = EntryVm(member.vm, member.hall, member.region, member.caller_address)
                by_region[member.region].append(entry)
        return by_region

    def _encode(self, client_region: str, service: str, region: str) -> list[bytes]:
        """Return one encoded answer for each entry VM that may come first."""
        others = [r for r in self.topology.by_distance(client_region) if r != region]
        first = self._by_region[region]
        rest = [entry for other in others for entry in self._by_region[other]]
        if not first and rest:
            first = self._by_region[rest[0].region]
            rest = [entry for entry in rest if entry not in first]
        return [
            self._encode_one(service, region, _rotated(first, start) + rest)
            for start in range(len(first))
        ]

    def _encode_one(self, service: str, region: str, entry_vms: list[EntryVm]) -> bytes:
        answer = LookupAnswer(
            service,
            region,
            tuple(entry_vms[:MAX_ENTRY_VMS]),
            self.topology.configuration.lookup.ttl_ms,
            self.topology.document.revision,
        )
        return msgspec.json.encode(answer)


def _rotated(entry_vms: list[EntryVm], start: int) -> list[EntryVm]:
    """Return a list rotated so that its entry at `start` comes first."""
    return entry_vms[start:] + entry_vms[:start]


def first_entry_vm(answer: bytes) -> Optional[EntryVm]:
    """Return the entry VM that an encoded answer names first."""
    decoded = msgspec.json.decode(answer, type=LookupAnswer)
    return decoded.entry_vms[0] if decoded.entry_vms else None
