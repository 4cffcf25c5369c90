"""Passes requests to another entry VM while this one has lost its links to backend servers.

A request is passed on once: the VM that gets it runs it through its own pipeline, in which it is
never passed on again. Key and quota are checked here and not there; the route's limits on runs and
the deadline hold over both. What the other VM answers is final, unless it took the request not at
all: then up to `_MAX_PEERS` VMs are asked. A connection to a VM that ends without an answer leaves
it open whether the request ran; only a repeatable one is then passed on again, out of the retry
budget. A VM that holds an older configuration than this VM's callers have seen takes no request of
it, so that none of them meets an older version; for the same reason this VM goes on passing
requests on while it is behind what its callers have seen. Without any VM to ask, this one tries the
backend servers itself.

The last resort is for a VM whose links work in part: a request that found no reachable server is
passed on as well, unless the other VMs found none for the same service within
`_UNSERVED_PAUSE_S`.

Relies on `servers.links` for the state of the links, on `relay_peers` for the choice and on
`relay_message` for the encoding. Owns the connections to other VMs. A request that was passed on
shows in the event `request`: its `sends` name the VM and one of the causes below. The counters are
`requests_relayed` and `relays_not_taken`. Tests: `test_gateway_relay`.
"""

import abc
import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple, Optional

import msgspec

from ....net.connection import Answer, ConnectFailedError, ExchangeFailedError
from ...events import EventLog
from ...header_names import HeaderNames
from ...resources import Member, Route
from ...servers.links.server_links import ServerLinks
from ...servers.pool import ConnectionPool
from ...state.named_state import NamedStateOwner, NamedTable, NameKind
from ...timing import Timing
from ..client_request import (
    STOPPING,
    TIMED_OUT,
    Attempt,
    ClientRequest,
    RefusalReason,
    Reply,
    Verdict,
)
from ..connection_reuse import max_idle_s
from ..outcome import final_answer
from ..outcome.hold_time import MS_PER_S, hold_time
from ..outcome.process_end import ProcessEnd
from .relay_message import (
    RelayOutcome,
    encode_request,
    read_outcome,
    read_version,
)
from .relay_peers import RelayPeers

RELAYED = "relayed"
"""Cause of an attempt by which another VM answered the request."""

NOT_TAKEN = "relay-not-taken"
"""Cause of an attempt at a VM that did not take the request."""

LOST = "relay-lost"
"""Cause of an attempt at a VM that did not answer."""

_MAX_PEERS = 3
"""Other VMs that are asked to take one request."""

_UNSERVED_PAUSE_S = 1.0
"""Time for which no request of a service is passed on as a last resort after other VMs found no
server for it either, in seconds."""

_UNSERVED = frozenset((RefusalReason.NO_SERVER,))
"""Refusals of another VM that tell that it has no server for the service either."""

TakeRetry = Callable[[], bool]
"""Takes one retry from the budget of the request's service; False when none is left."""


class Relay(abc.ABC):
    """Passes requests to other VMs."""

    @abc.abstractmethod
    async def serve(
        self, request: ClientRequest, route: Route, take_retry: TakeRetry
    ) -> Optional[Reply]:
        """Pass a request on if this VM has lost its links.

        Args:
            request: The request.
            route: Its route.
            take_retry: Takes one retry from the budget of its service.

        Returns:
            The final answer; None when this VM has to serve the request itself.
        """

    @abc.abstractmethod
    async def serve_last(
        self, request: ClientRequest, route: Route, service: str, take_retry: TakeRetry
    ) -> Optional[Reply]:
        """Pass on a request that found no reachable server of its service; see `serve`."""


class NoRelay(Relay):
    """Passes nothing on; for a VM without others."""

    async def serve(
        self, _request: ClientRequest, _route: Route, _take_retry: TakeRetry
    ) -> Optional[Reply]:
        """Pass nothing on; see `Relay`."""
        return None

    async def serve_last(
        self, _request: ClientRequest, _route: Route, _service: str, _take_retry: TakeRetry
    ) -> Optional[Reply]:
        """Pass nothing on; see `Relay`."""
        return None


class _Passed(NamedTuple):
    """What became of a request that was passed to one VM.

    Args:
        attempt: The attempt, for the request's record.
        outcome: What the other VM says.
        answer: Its answer; None when there is none.
    """

    attempt: Attempt
    outcome: RelayOutcome
    answer: Optional[Answer] = None


class PeerRelay(Relay, NamedStateOwner):
    """Passes requests to other VMs over pooled connections.

    Args:
        links: State of this VM's links.
        peers: Chooses other VMs.
        pool: Connections to other VMs.
        names: Names of headers.
        events: Counts requests that are passed on.
        timing: Sources of time and randomness.
        process_end: Decides what may be sent while this process stops.
    """

    def __init__(
        self,
        links: ServerLinks,
        peers: RelayPeers,
        pool: ConnectionPool,
        names: HeaderNames,
        events: EventLog,
        timing: Timing,
        *,
        process_end: ProcessEnd,
    ) -> None:
        self.links = links
        self.peers = peers
        self.pool = pool
        self.names = names
        self.events = events
        self.timing = timing
        self.process_end = process_end
        self._seen_version = 0
        self._unserved_until: dict[str, float] = {}

    def named_tables(self) -> Iterable[NamedTable]:
        """Return the pauses by service; see `NamedStateOwner`."""
        return (NamedTable("relay_pauses", NameKind.SERVICE, self._unserved_until),)

    async def serve(
        self, request: ClientRequest, route: Route, take_retry: TakeRetry
    ) -> Optional[Reply]:
        """Pass a request on if this VM has lost its links; see `Relay`."""
        if request.relayed_by or (await self.links.settled() and not self._is_behind()):
            return None
        return await self._pass_on(request, route, take_retry)

    async def serve_last(
        self, request: ClientRequest, route: Route, service: str, take_retry: TakeRetry
    ) -> Optional[Reply]:
        """Pass on a request that found no reachable server; see `Relay`."""
        now = self.timing.monotonic()
        if request.relayed_by or not _may_run(request, route):
            return None
        if self._unserved_until.get(service, now) > now:
            return None
        reply = await self._pass_on(request, route, take_retry)
        if reply is None or reply.refusal in _UNSERVED:
            self._unserved_until[service] = self.timing.monotonic() + _UNSERVED_PAUSE_S
        return reply

    async def _pass_on(
        self, request: ClientRequest, route: Route, take_retry: TakeRetry
    ) -> Optional[Reply]:
        until = hold_time(request, route).until
        for _ in range(_MAX_PEERS - _peers_asked(request)):
            now = self.timing.monotonic()
            peer = self.peers.choose(route.regions, request.tried_servers(), now)
            if peer is None or now >= until or not _may_run(request, route):
                return None
            passed = await self._pass_to(peer, request, route, until)
            request.record(passed.attempt)
            if passed.attempt.cause == STOPPING:
                return None
            if passed.outcome is RelayOutcome.NOT_TAKEN:
                continue
            request.counted = True
            lost = passed.attempt.cause == LOST
            if not (lost and _may_run(request, route) and take_retry()):
                return self._reply(passed, request, route)
        return None

    async def _pass_to(
        self, peer: Member, request: ClientRequest, route: Route, until: float
    ) -> _Passed:
        """Pass a request to one VM, and record what became of it there."""
        started = self.timing.monotonic()
        self.peers.begin(peer.name)
        try:
            async with asyncio.timeout(until - started):
                passed = await self._exchange(peer, request, route, until)
        except TimeoutError:
            verdict = Verdict.UNKNOWN if request.at_server else Verdict.NOT_RUN
            attempt = Attempt(peer.name, verdict, request.at_server, TIMED_OUT)
            passed = _Passed(attempt, RelayOutcome.UNKNOWN)
        finally:
            self.peers.end(peer.name)
        now = self.timing.monotonic()
        if passed.attempt.cause in (NOT_TAKEN, LOST):
            self.peers.record_failure(peer.name, now)
            self.events.count("relays_not_taken")
        elif passed.attempt.cause != STOPPING:
            self.events.count("requests_relayed")
        return passed._replace(attempt=passed.attempt._replace(seconds=now - started))

    async def _exchange(
        self, peer: Member, request: ClientRequest, route: Route, until: float
    ) -> _Passed:
        try:
            connection = await self.pool.take(
                peer.peer_address, max_idle_s=max_idle_s(request, route)
            )
        except ConnectFailedError:
            attempt = Attempt(peer.name, Verdict.NOT_RUN, False, NOT_TAKEN)
            return _Passed(attempt, RelayOutcome.NOT_TAKEN)
        if not self.process_end.may_send(request, until, self.timing.monotonic()):
            self.pool.give_back(peer.peer_address, connection)
            attempt = Attempt(peer.name, Verdict.NOT_RUN, False, STOPPING)
            return _Passed(attempt, RelayOutcome.NOT_TAKEN)
        left_ms = max(1, int((until - self.timing.monotonic()) * MS_PER_S))
        name, version = self.peers.own.name, self._version()
        head = encode_request(request, name, version, self.names.deadline_ms, left_ms)
        request.begin_sending(peer.name, self.timing.monotonic())
        try:
            answer = await connection.exchange(head, request.body, request_id=request.id)
        except ExchangeFailedError:
            attempt = Attempt(peer.name, Verdict.UNKNOWN, True, LOST)
            return _Passed(attempt, RelayOutcome.UNKNOWN)
        self.pool.give_back(peer.peer_address, connection)
        self._seen_version = max(self._seen_version, read_version(answer))
        return _judge(peer.name, answer)

    def _version(self) -> int:
        """Return the newest version of the configuration that callers have seen in effect here."""
        return max(self._seen_version, self._own_version())

    def _own_version(self) -> int:
        configuration = self.peers.store_view.configuration
        return configuration.version if configuration else 0

    def _is_behind(self) -> bool:
        """Return whether callers have seen a newer configuration than this VM holds."""
        return self._own_version() < self._seen_version

    def _reply(self, passed: _Passed, request: ClientRequest, route: Route) -> Reply:
        """Return the final answer of a request that is not passed on again."""
        if passed.outcome is RelayOutcome.ANSWERED:
            return final_answer.forwarded(passed.attempt, route)
        if passed.answer is not None:
            return _refusal(passed.answer, request, route, self.timing)
        timed_out = passed.attempt.cause == TIMED_OUT
        reason = RefusalReason.TIMEOUT if timed_out else RefusalReason.FAILED
        return final_answer.not_served(request, route, reason, self.timing.rng)


def _judge(name: str, answer: Answer) -> _Passed:
    """Return what an answer of another VM proves."""
    outcome = read_outcome(answer)
    if outcome is RelayOutcome.ANSWERED:
        return _Passed(Attempt(name, Verdict.ANSWERED, True, RELAYED, answer), outcome, answer)
    if outcome is RelayOutcome.NOT_TAKEN:
        return _Passed(Attempt(name, Verdict.NOT_RUN, False, NOT_TAKEN), outcome, answer)
    promised = outcome is RelayOutcome.REFUSED and final_answer.promises_not_run(answer.status)
    verdict = Verdict.NOT_RUN if promised else Verdict.UNKNOWN
    return _Passed(Attempt(name, verdict, True, RELAYED), outcome, answer)


def _refusal(answer: Answer, request: ClientRequest, route: Route, timing: Timing) -> Reply:
    """Return the other VM's own answer, which promises no more than is certain here."""
    try:
        reason = RefusalReason(msgspec.json.decode(answer.body)["reason"])
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        # An answer of a VM of another version; its status still tells what it promises.
        reason = RefusalReason.FAILED
    reply = final_answer.not_served(request, route, reason, timing.rng)
    stated = answer.header("retry-after")
    if reply.refusal is not reason or reply.retry_after_s is None or stated is None:
        return reply
    return reply._replace(retry_after_s=float(stated))


def _peers_asked(request: ClientRequest) -> int:
    """Return how many VMs were asked to take a request."""
    return sum(attempt.cause in (NOT_TAKEN, LOST) for attempt in request.attempts)


def _may_run(request: ClientRequest, route: Route) -> bool:
    """Return whether a request may run once more."""
    runs = request.possible_runs()
    return not runs or (route.repeatable and runs < route.max_attempts)
