"""This VM's own entry in the table of members, which other VMs read.

`OwnEntry` owns the entry's content: state, loads, requests on draining targets and the digest of
the hall's list of slot holders. `Membership` holds the entry and its version; `exchange` sends it.
"""

from collections.abc import Callable, Mapping, Sequence

from ..config.settings import Settings
from .peers.membership import Membership
from .peers.peer_pb2 import GONE, JOINING, LEAVING, Member, ServiceLoad, State

LineLog = Callable[[str], None]
"""Logs a line about a change of state."""


def new_entry(settings: Settings, incarnation: int) -> Member:
    """Return the entry of a VM that joins.

    Args:
        settings: The daemon's settings.
        incarnation: Number of this process, higher than that of any earlier process of the VM.
    """
    return Member(
        vm=settings.vm,
        hall=settings.hall,
        region=settings.region,
        incarnation=incarnation,
        version=1,
        peer_address=settings.peer_address,
        caller_address=settings.caller_address,
        operators_address=settings.operators_address,
        state=JOINING,
    )


class OwnEntry:
    """Writes this VM's entry.

    Args:
        membership: Holds the entry.
        log: Called with a line for each change of state.
    """

    def __init__(self, membership: Membership, log: LineLog) -> None:
        self.membership = membership
        self.log = log

    @property
    def member(self) -> Member:
        """This VM's entry."""
        return self.membership.own

    def set_state(self, state: "State.ValueType") -> None:
        """Set the state that other VMs see; log it when it changes."""
        member = self.member
        if state == member.state:
            return
        member.state = state
        self.log(f"event=state vm={member.vm} state={State.Name(state).lower()}")

    def set_hall_view(self, digest: str) -> None:
        """Set the digest of the list of slot holders that this VM uses."""
        member = self.member
        member.hall_view = digest

    def describe(
        self,
        *,
        revision: int,
        in_flight: int,
        loads: Sequence[ServiceLoad],
        leaving_servers: Sequence[str],
        draining_requests: Mapping[str, int],
    ) -> None:
        """Replace the entry's fields on this VM's load, and raise the entry's version.

        Args:
            revision: Configuration revision in force; 0 when there is none.
            in_flight: Requests from callers and other entry VMs in flight.
            loads: Load of each service.
            leaving_servers: Backend servers that have reported to this VM that they are leaving.
            draining_requests: Requests that still run on each draining hall and server, keyed by
                drain key.
        """
        member = self.member
        member.config_revision = revision
        member.in_flight = in_flight
        member.ClearField("loads")
        member.loads.extend(loads)
        member.ClearField("leaving_servers")
        member.leaving_servers.extend(leaving_servers)
        member.held.clear()
        for key, requests in draining_requests.items():
            member.held[key] = requests
        self.membership.increment_version()

    def leave(self) -> None:
        """Announce that this VM accepts no new callers."""
        if self.member.state != GONE:
            self.set_state(LEAVING)
            self.membership.increment_version()

    def finish(self) -> None:
        """Announce that this VM holds no slots any more."""
        self.set_state(GONE)
        self.membership.increment_version()
