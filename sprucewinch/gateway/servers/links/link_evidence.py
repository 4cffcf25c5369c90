"""Decides when failures at backend servers make this VM's own links suspicious.

A server that fails alone is the server's fault; several that fail without an answer on a new
connection to any other may be this VM's. Suspicion only starts a check (`link_check`), so it may be
wrong: it arises when new connections to `MIN_SUSPICIOUS_SERVERS` servers failed, or their
connections ended without an answer, since the last server answered to which a new connection had
been established. An answer of any other server clears that server only: open connections may live
on while new ones are refused. A new connection alone clears nothing: it may come up and end.

Inputs are addresses of backend servers, `IP:PORT`. Owns the failures, and the new connections that
have not shown an answer yet. Does no input or output. Tests: `test_gateway_server_links`.
"""

MIN_SUSPICIOUS_SERVERS = 2
"""Servers that fail in a row before this VM checks its own links."""


class LinkEvidence:
    """Servers that failed since the last answer of a server with a new connection.

    Attributes:
        failed: Addresses of servers that failed.
        connected: Addresses with a new connection, and neither an answer nor a failure since.
    """

    __slots__ = ("connected", "failed")

    def __init__(self) -> None:
        self.failed: set[str] = set()
        self.connected: set[str] = set()

    @property
    def suspicious(self) -> bool:
        """Whether the failures call for a check of this VM's links."""
        return len(self.failed) >= MIN_SUSPICIOUS_SERVERS

    def record_failure(self, address: str) -> None:
        """Record that a server could not be reached, or ended a connection without an answer."""
        self.connected.discard(address)
        self.failed.add(address)

    def record_answer(self, address: str) -> None:
        """Record an answer of a server on any connection."""
        if address in self.connected:
            self.connected.discard(address)
            self.failed.clear()
        self.failed.discard(address)

    def record_connection(self, address: str) -> None:
        """Record that a new connection to a server was established."""
        self.connected.add(address)

    def forget(self) -> None:
        """Forget all failures: a check has found how the links are."""
        self.failed.clear()
