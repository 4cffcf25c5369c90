"""What a VM shows operators of itself on `/state`: what it holds, how old that is, its shares.

Owns the shape of that JSON, which the command line reads: names and order of its fields stay.
Relies on the parts of `composition`; changes nothing. The result of the region rules shows here
alone: `policy`, `shares` and `limits` of each service.
"""

from typing import Any, NamedTuple, Optional

import msgspec

from .composition import Context, Crashes, Parts, Regions, Servers, Workspaces
from .statements.process_statements import ProcessStatements, ServerProcessId

_HIGHEST_AGE_S = 1e9
"""Age shown when the store has never answered, in seconds: JSON has no infinity."""

_SHARE_DIGITS = 4
"""Decimal places of a share: a hundredth of a per cent."""

_LOAD_DIGITS = 2
"""Decimal places of a server's load, in requests."""

_AGE_DIGITS = 3
"""Decimal places of an age in seconds: a millisecond."""

_MS_PER_S = 1000
"""Milliseconds in a second."""

_SHOWN_NAMES = {"hall": "zone"}
"""Names of fields in `/state` where they differ from the field's own; operators read them."""


class BackendState(NamedTuple):
    """One backend server as this VM sees it.

    Args:
        id: Its name.
        service: Service that it runs.
        hall: Its data hall.
        in_flight: This VM's requests there.
        load: Requests that it probably holds, of all VMs.
        cold: True while it has just started or lost what it kept warm.
        draining: True when it is about to leave.
        paused: True while nothing is sent there, as it rests or is silent.
        latency_ms: Mean time of a request there, in milliseconds; 0 when unknown.
    """

    id: str
    service: str
    hall: str
    in_flight: int
    load: float
    cold: bool
    draining: bool
    paused: bool
    latency_ms: float

    def shown(self) -> dict[str, Any]:
        """Return its row of `/state`, where the data hall is called `zone`."""
        return {_SHOWN_NAMES.get(name, name): value for name, value in self._asdict().items()}


class ServiceState(NamedTuple):
    """One service's steering at this VM.

    Args:
        service: Its name.
        policy: Policy in force.
        shares: Share of each region in the callers of this VM's region.
        limits: Why the target differs from what the policy wants, see `ShareTarget.notes`.
    """

    service: str
    policy: str
    shares: dict[str, float]
    limits: tuple[str, ...]


class QuarantinedState(NamedTuple):
    """One request that is refused, as it crashes servers.

    Args:
        fingerprint: Names it; operators let it go by this.
        what: Its method and path.
        age_s: Time since it has been refused here, or since its last trial, in seconds.
        trial_in_s: Time until it is tried again, in seconds; an hour when only operators may let
            it go.
        trials: Trials so far.
        stored: True when the store holds it, so that it outlasts this VM.
        crashes: Servers that ended under it: id, process, VMs that saw it, age in seconds then.
    """

    fingerprint: str
    what: str
    age_s: float
    trial_in_s: float
    trials: int
    stored: bool
    crashes: tuple[dict[str, Any], ...]


class WorkspaceState(NamedTuple):
    """One workspace with a limit, as far as this VM has to do with it; never its keys.

    Args:
        workspace: Its name.
        rate_per_s: Requests a second that it may send to the whole fleet.
        burst: Requests beyond that rate.
        used: Requests that were admitted here since the start, but for those given back.
        refused: Requests that were refused here for its limit.
        part: Part of its limit that this VM holds for its data hall, from 0 to 1.
        left: Requests that it may still give of that part.
    """

    workspace: str
    rate_per_s: float
    burst: float
    used: int
    refused: int
    part: float
    left: float


class StatementState(NamedTuple):
    """What one process of a backend server has stated, as far as this VM was told.

    Args:
        server: Id of the server.
        incarnation: Which process of it; 0 when that is not known.
        limit_per_s: Requests a second that it takes from all VMs; None for no limit.
        by_server: True when it has told this VM itself, False when other VMs have.
        limit_since_s: Time since this VM was first told of the limit, in seconds.
        limit_age_s: Time since the server last stated it, in seconds.
        no_token_s: Time for which it gets nothing from here, as its limit is used, in seconds.
        leaving_s: Time since this VM was told that it leaves, in seconds; None when it does not.
        rests_s: Time for which it wants nothing from this VM, in seconds.
    """

    server: str
    incarnation: int
    limit_per_s: Optional[float]
    by_server: bool
    limit_since_s: float
    limit_age_s: float
    no_token_s: float
    leaving_s: Optional[float]
    rests_s: float


class VmState(NamedTuple):
    """Everything that an operator asks of one VM.

    Args:
        name: Its name.
        region: Its region.
        ready: True when callers may be sent here.
        configuration_version: Version in force; 0 before the first.
        store_revision: Revision of the store that is held.
        store_age_s: Time since that was last confirmed, in seconds.
        evacuated: Data halls that get nothing.
        members: Whether each registered VM accepts callers.
        services: Steering by service.
        backend_servers: All that are known.
        quarantined: Requests that are refused, as they crash servers.
        workspaces: Those with a limit that were asked for here, or of which it holds a part.
        statements: Backend servers that leave, rest or limit themselves by their own word.
    """

    name: str
    region: str
    ready: bool
    configuration_version: int
    store_revision: int
    store_age_s: float
    evacuated: tuple[str, ...]
    members: dict[str, bool]
    services: tuple[ServiceState, ...]
    backend_servers: tuple[BackendState, ...]
    quarantined: tuple[QuarantinedState, ...]
    workspaces: tuple[WorkspaceState, ...]
    statements: tuple[StatementState, ...]

    def to_json(self) -> str:
        """Return it as a JSON object."""
        table = {
            **self._asdict(),
            "services": [service._asdict() for service in self.services],
            "backend_servers": [server.shown() for server in self.backend_servers],
            "quarantined": [request._asdict() for request in self.quarantined],
            "workspaces": [workspace._asdict() for workspace in self.workspaces],
            "statements": [statement._asdict() for statement in self.statements],
        }
        return msgspec.json.encode(table).decode()


def vm_state(context: Context, parts: Parts) -> VmState:
    """Return the state of a VM."""
    now = context.monotonic()
    view = parts.state.view
    return VmState(
        name=context.settings.name,
        region=context.settings.region,
        ready=context.ready(),
        configuration_version=view.configuration.version if view.configuration else 0,
        store_revision=view.replica.at,
        store_age_s=round(min(now - view.confirmed_at, _HIGHEST_AGE_S), _AGE_DIGITS),
        evacuated=tuple(sorted(view.evacuated)),
        members={n: parts.fleet.gossip.accepts_callers(n, now) for n in sorted(view.members)},
        services=_services(parts.regions),
        backend_servers=_backend_servers(parts.servers, now),
        quarantined=_quarantined(parts.crashes, now),
        workspaces=_workspaces(parts.workspaces),
        statements=_statements(parts.servers, now),
    )


def _statements(servers: Servers, now: float) -> tuple[StatementState, ...]:
    rows = sorted(servers.registry.statement_table.rows.items())
    return tuple(
        _statement(process, stated, now) for process, stated in rows if stated.states_something(now)
    )


def _statement(process: ServerProcessId, stated: ProcessStatements, now: float) -> StatementState:
    limit = stated.limit
    limited = stated.is_limited(now)
    leaving = stated.leaving_since
    return StatementState(
        server=process.server_id,
        incarnation=process.incarnation,
        limit_per_s=limit.per_s if limited else None,
        by_server=limit.own,
        limit_since_s=_seconds(now - limit.since) if limited else 0.0,
        limit_age_s=_seconds(now - limit.stated_at) if limited else 0.0,
        no_token_s=_seconds(stated.no_token_until - now) if limited else 0.0,
        leaving_s=None if leaving is None else _seconds(now - leaving),
        rests_s=_seconds(stated.rest_until - now),
    )


def _seconds(seconds: float) -> float:
    return round(max(0.0, seconds), _AGE_DIGITS)


def _workspaces(workspaces: Workspaces) -> tuple[WorkspaceState, ...]:
    quotas, buckets = workspaces.quotas, workspaces.exchange.parts.buckets
    rows = []
    for name in sorted({*quotas.used, *quotas.refused, *buckets}):
        workspace = workspaces.admission.workspace(name)
        bucket = buckets.get(name)
        if workspace is not None:
            rows.append(
                WorkspaceState(
                    workspace=name,
                    rate_per_s=workspace.rate_per_s,
                    burst=workspace.burst,
                    used=quotas.used[name],
                    refused=quotas.refused[name],
                    part=round(bucket.part, _SHARE_DIGITS) if bucket else 0.0,
                    left=round(bucket.level, _LOAD_DIGITS) if bucket else 0.0,
                )
            )
    return tuple(rows)


def _quarantined(crashes: Crashes, now: float) -> tuple[QuarantinedState, ...]:
    return tuple(
        QuarantinedState(
            fingerprint=held.request.fingerprint,
            what=held.request.what,
            age_s=round(now - held.since, _AGE_DIGITS),
            trial_in_s=round(held.retry_after_s(now), _AGE_DIGITS),
            trials=held.request.trials,
            stored=held.revision > 0,
            crashes=tuple(crash._asdict() for crash in held.request.crashes),
        )
        for _, held in sorted(crashes.quarantine.held.items())
    )


def _services(regions: Regions) -> tuple[ServiceState, ...]:
    shares = regions.shares
    return tuple(
        ServiceState(
            name,
            regions.policies.name_for(name),
            {r: round(s, _SHARE_DIGITS) for r, s in limiter.current.as_dict().items()},
            shares.notes.get(name, ()),
        )
        for name, limiter in sorted(shares.limiters.items())
    )


def _backend_servers(servers: Servers, now: float) -> tuple[BackendState, ...]:
    return tuple(
        BackendState(
            id=server.backend.id,
            service=server.backend.service,
            hall=server.backend.hall,
            in_flight=server.in_flight,
            load=round(server.load(now), _LOAD_DIGITS),
            cold=server.cold(now),
            draining=server.backend.draining,
            paused=server.paused_until > now or server.silent(now),
            latency_ms=round((server.latency_s or 0.0) * _MS_PER_S, 1),
        )
        for _, server in sorted(servers.registry.servers.items())
    )
