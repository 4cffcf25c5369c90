"""Orders VMs for any key so that the order changes little when a VM comes or goes.

Each VM stands at one or more points of a ring, by hash of its name; the order for a key is the one
in which VMs are met from the key's own point on. A VM that is added or removed leaves the others in
the order in which they were. The ring is sorted once, so that a question costs no look at each VM.

Owns the ring, which never changes. Relies on nothing. Tests: `test_gateway_vm_ring`.
"""

import bisect
from collections.abc import Collection, Iterator

from ..._hash import hash64


class VmRing:
    """An order of VMs for each key.

    Args:
        names: Names of the VMs.
        points: Points of each VM; with more, keys are spread more evenly among VMs.
    """

    __slots__ = ("_names", "_points", "count")

    def __init__(self, names: Collection[str], *, points: int = 1) -> None:
        self.count = len(set(names))
        by_point = sorted(
            (hash64(f"ring|{number}|{name}"), name)
            for name in set(names)
            for number in range(points)
        )
        self._points = [point for point, _ in by_point]
        self._names = [name for _, name in by_point]

    def order(self, key: str) -> Iterator[str]:
        """Return the VMs in the order for a key, each once."""
        first = bisect.bisect(self._points, hash64(key))
        met: set[str] = set()
        for step in range(len(self._names)):
            name = self._names[(first + step) % len(self._names)]
            if name not in met:
                met.add(name)
                yield name

    def first(self, key: str, count: int) -> list[str]:
        """Return the first VMs of the order for a key, or all if there are fewer."""
        return [name for name, _ in zip(self.order(key), range(count), strict=False)]
