"""Which objects this VM has recently sent to which backend server, so that they are warm there.

A server keeps an object warm for about `_OBJECT_WARM_S` after a request for it. The memory is
bounded by `_MAX_SENT_OBJECTS`; the oldest pairs of server and object are forgotten first, and those
of a server whose process has ended. In a large fleet other VMs warm most objects, so an object that
is not in this memory may be warm all the same (`capacity.warm_objects`). Times are monotonic, in
seconds.

Owns the memory; relies on nothing. Shows in the choice of servers and of outliers. Tests:
`test_gateway_outliers`, `test_gateway_server_selection`.
"""

from collections import OrderedDict

_OBJECT_WARM_S = 10.0
"""Time for which a server is assumed to keep an object warm, in seconds."""

_MAX_SENT_OBJECTS = 4000
"""Maximum number of pairs of server and object that are kept, which bounds the memory."""


class SentObjects:
    """The objects for which this VM recently sent each server requests."""

    __slots__ = ("_sent",)

    def __init__(self) -> None:
        self._sent: OrderedDict[tuple[str, str], float] = OrderedDict()

    def record(self, server_id: str, key: str, now: float) -> bool:
        """Record that a server got a request for an object.

        Args:
            server_id: Id of the server.
            key: Key of the object.
            now: Monotonic time, in seconds.

        Returns:
            True if the server got a request for it within `_OBJECT_WARM_S` before.
        """
        before = self._sent.pop((server_id, key), float("-inf"))
        self._sent[server_id, key] = now
        if len(self._sent) > _MAX_SENT_OBJECTS:
            self._sent.popitem(last=False)
        return now - before <= _OBJECT_WARM_S

    def forget(self, server_id: str) -> None:
        """Forget a server's objects; the next process under its id has none of them warm."""
        self._sent = OrderedDict(
            (pair, at) for pair, at in self._sent.items() if pair[0] != server_id
        )

    def is_warm(self, server_id: str, key: str, now: float) -> bool:
        """Return whether a server recently got a request for an object, so that it is warm there.

        Args:
            server_id: Id of the server.
            key: Key of the object.
            now: Monotonic time, in seconds.
        """
        return now - self._sent.get((server_id, key), float("-inf")) <= _OBJECT_WARM_S
