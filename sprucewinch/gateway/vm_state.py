"""State of a VM that `/state` shows to operators.

Owns the format of that JSON, which the command line reads, so the names and the order of its fields
must not change. Relies on the parts of `composition` and changes nothing. The results of steering
between regions are visible only here: `policy`, `shares` and `limits` of each service.
"""

from typing import Any, NamedTuple, Optional

import msgspec

from .parts import Context, Crashes, Parts, Regions, Servers, Workspaces
from .requests.admission.gate import KindRates
from .statements.process_statements import ProcessStatements, ServerProcessId

_MAX_AGE_S = 1e9
"""Age shown of what has never been heard, in seconds; JSON cannot represent infinity."""

_SHARE_DIGITS = 4
"""Decimal places of a share, which give it to a hundredth of a per cent."""

_LOAD_DIGITS = 2
"""Decimal places of a server's load, in requests."""

_PACE_DIGITS = 2
"""Decimal places of a pace, which give it to the per cent."""

_TIME_DIGITS = 3
"""Decimal places of a time in seconds, which give it to the millisecond."""

_MS_PER_S = 1000
"""Milliseconds in a second."""

_STATE_NAMES = {"hall": "zone"}
"""Names in `/state` of the fields that have another name here; operators read them."""


class BackendState(NamedTuple):
    """One backend server as this VM sees it.

    Args:
        id: Id of the server.
        service: Service that it runs.
        hall: Data hall of the server.
        in_flight: Requests that this VM has in flight there.
        load: Estimated requests that it is working on, from all VMs.
        cold: True while it has just started or has lost its warm caches.
        draining: True if it is about to leave.
        paused: True while nothing is sent to it, as it is resting or silent.
        latency_ms: Mean latency of its requests, in milliseconds; 0 if unknown.
        pace: Expected factor on the usual time of work there, above 1 if it is slow; 1 if unknown.
        load_age_s: Age of the newest load that it stated to this VM or to another one, in seconds.
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
    pace: float
    load_age_s: float

    def to_row(self) -> dict[str, Any]:
        """Return the row of `/state`, in which the data hall is called `zone`."""
        return {_STATE_NAMES.get(name, name): value for name, value in self._asdict().items()}


class ServiceState(NamedTuple):
    """Steering of one service at this VM.

    Args:
        service: Name of the service.
        policy: Policy in force.
        shares: Share of each region in the callers of this VM's region.
        limits: Why the target differs from the policy's weights, see `ShareTarget.notes`.
    """

    service: str
    policy: str
    shares: dict[str, float]
    limits: tuple[str, ...]


class QuarantinedState(NamedTuple):
    """One quarantined request, which is refused because it crashes backend servers.

    Args:
        fingerprint: Identifies the request; operators release it by this.
        what: Method and path of the request.
        age_s: Time since this VM began to refuse it, or since its last trial, in seconds.
        trial_in_s: Time until its next trial, in seconds; an hour if only operators can release
            it.
        trials: Number of trials so far.
        stored: True if the store contains it, so that it outlasts this VM.
        crashes: Servers that crashed while running it: id, incarnation, VMs that observed it, and
            age in seconds at the time of the quarantine.
    """

    fingerprint: str
    what: str
    age_s: float
    trial_in_s: float
    trials: int
    stored: bool
    crashes: tuple[dict[str, Any], ...]


class WorkspaceState(NamedTuple):
    """The quota of one workspace at this VM; its keys are never shown.

    Args:
        workspace: Name of the workspace.
        rate_per_s: Requests a second that it may send to the whole fleet.
        burst: Requests that it may send beyond that rate.
        used: Requests admitted by this VM since its start, except those given back.
        refused: Requests refused by this VM because of the limit.
        part: Fraction of the limit that this VM manages for its data hall, from 0 to 1.
        left: Requests that this VM may still grant from that part.
    """

    workspace: str
    rate_per_s: float
    burst: float
    used: int
    refused: int
    part: float
    left: float


class StatementState(NamedTuple):
    """Statements of one process of a backend server that this VM has received.

    Args:
        server: Id of the server.
        incarnation: Number of its process; 0 if unknown.
        limit_per_s: Requests a second that it accepts from all VMs; None for no limit.
        by_server: True if the server stated the limit to this VM, False if other VMs reported it.
        limit_since_s: Time since this VM first received the limit, in seconds.
        limit_age_s: Time since the server last stated the limit, in seconds.
        no_token_s: Time for which this VM sends it nothing, as its limit is used up, in seconds.
        leaving_s: Time since this VM learned that it is leaving, in seconds; None if it is not.
        rests_s: Time for which it wants no requests from this VM, in seconds.
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
    """The state of one VM for operators.

    Args:
        name: Name of the VM.
        region: Region of the VM.
        ready: True if callers may be sent to this VM.
        configuration_version: Version of the configuration in force; 0 before the first.
        store_revision: Revision of this VM's copy of the store.
        store_age_s: Time since that revision was last confirmed, in seconds.
        evacuated: Data halls to which no requests are sent.
        members: Whether each registered VM accepts callers, by name.
        services: Steering of each service.
        backend_servers: All known backend servers.
        quarantined: Requests that are refused because they crash backend servers.
        workspaces: Workspaces with a limit that have sent requests to this VM, or of whose limit
            this VM manages a part.
        statements: Statements of backend servers that are leaving, resting or limited.
        kinds: What each kind of requests asks of each service whose servers state their pace; left
            out where no server does.
        reaches_servers: False while this VM has lost its links to backend servers; left out
            otherwise.
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
    kinds: tuple[KindRates, ...] = ()
    reaches_servers: bool = True

    def to_json(self) -> str:
        """Return the state as a JSON object."""
        table = {
            **self._asdict(),
            "services": [service._asdict() for service in self.services],
            "backend_servers": [server.to_row() for server in self.backend_servers],
            "quarantined": [request._asdict() for request in self.quarantined],
            "workspaces": [workspace._asdict() for workspace in self.workspaces],
            "statements": [statement._asdict() for statement in self.statements],
            "kinds": [kind.to_row() for kind in self.kinds],
        }
        if not self.kinds:
            del table["kinds"]
        if self.reaches_servers:
            del table["reaches_servers"]
        return msgspec.json.encode(table).decode()


def vm_state(context: Context, parts: Parts) -> VmState:
    """Return the current state of a VM."""
    now = context.monotonic()
    view = parts.state.view
    return VmState(
        name=context.settings.name,
        region=context.settings.region,
        ready=context.ready(),
        configuration_version=view.configuration.version if view.configuration else 0,
        store_revision=view.replica.complete_revision,
        store_age_s=round(min(now - view.confirmed_at, _MAX_AGE_S), _TIME_DIGITS),
        evacuated=tuple(sorted(view.evacuated)),
        members={n: parts.fleet.gossip.accepts_callers(n, now) for n in sorted(view.members)},
        services=_services(parts.regions),
        backend_servers=_backend_servers(parts.servers, now),
        quarantined=_quarantined(parts.crashes, now),
        workspaces=_workspaces(parts.workspaces),
        statements=_statements(parts.servers, now),
        kinds=tuple(parts.requests.pipeline.choice.admission.kinds(now)),
        reaches_servers=parts.servers.links.up,
    )


def _statements(servers: Servers, now: float) -> tuple[StatementState, ...]:
    rows = sorted(servers.registry.statement_table.rows.items())
    return tuple(
        _statement(process, stated, now) for process, stated in rows if stated.has_statement(now)
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
        rests_s=_seconds(stated.pause_until - now),
    )


def _seconds(seconds: float) -> float:
    return round(max(0.0, seconds), _TIME_DIGITS)


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
            fingerprint=entry.request.fingerprint,
            what=entry.request.what,
            age_s=round(now - entry.since, _TIME_DIGITS),
            trial_in_s=round(entry.retry_after_s(now), _TIME_DIGITS),
            trials=entry.request.trials,
            stored=entry.revision > 0,
            crashes=tuple(crash._asdict() for crash in entry.request.crashes),
        )
        for _, entry in sorted(crashes.quarantine.entries.items())
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
            paused=server.backoff_until > now or server.silent(now),
            latency_ms=round((server.latency_s or 0.0) * _MS_PER_S, 1),
            pace=round(server.pace.pace(now), _PACE_DIGITS),
            load_age_s=round(min(server.load_age_s(now), _MAX_AGE_S), _TIME_DIGITS),
        )
        for _, server in sorted(servers.registry.servers.items())
    )
