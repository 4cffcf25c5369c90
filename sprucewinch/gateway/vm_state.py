"""What a VM says of itself to operators: its beliefs with age and revision, and its shares."""

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

if TYPE_CHECKING:
    from .daemon import Gateway


_SHOWN_NAMES = {"hall": "zone"}
"""Names of fields in `/state` where they differ from the field's own; operators read them."""


class BackendState(NamedTuple):
    """One backend server as this VM sees it."""

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
    """One service's steering at this VM."""

    service: str
    policy: str
    shares: dict[str, float]
    limits: tuple[str, ...]


class VmState(NamedTuple):
    """Everything that an operator asks of one VM."""

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

    def to_json(self) -> str:
        """Return it as a JSON object."""
        table = {
            **self._asdict(),
            "services": [service._asdict() for service in self.services],
            "backend_servers": [server.shown() for server in self.backend_servers],
        }
        return msgspec.json.encode(table).decode()


def vm_state(gateway: "Gateway") -> VmState:
    """Return the state of a VM."""
    now = gateway.clock.monotonic()
    store_view = gateway.store_view
    configuration = store_view.configuration
    return VmState(
        name=gateway.settings.name,
        region=gateway.settings.region,
        ready=gateway.ready(),
        configuration_version=configuration.version if configuration else 0,
        store_revision=store_view.replica.at,
        store_age_s=round(min(now - store_view.confirmed_at, 1e9), 3),
        evacuated=tuple(sorted(store_view.evacuated)),
        members={n: gateway.gossip.accepts_callers(n, now) for n in sorted(store_view.members)},
        services=_services(gateway),
        backend_servers=_backend_servers(gateway, now),
    )


def _services(gateway: "Gateway") -> tuple[ServiceState, ...]:
    shares = gateway.shares
    return tuple(
        ServiceState(
            name,
            gateway.policies.name_for(name),
            {r: round(s, 4) for r, s in limiter.current.as_dict().items()},
            shares.notes.get(name, ()),
        )
        for name, limiter in sorted(shares.limiters.items())
    )


def _backend_servers(gateway: "Gateway", now: float) -> tuple[BackendState, ...]:
    return tuple(
        BackendState(
            id=server.backend.id,
            service=server.backend.service,
            hall=server.backend.hall,
            in_flight=server.in_flight,
            load=round(server.load(now), 2),
            cold=server.cold(now),
            draining=server.backend.draining,
            paused=server.paused_until > now or server.silent(now),
            latency_ms=round((server.latency_s or 0.0) * 1000, 1),
        )
        for _, server in sorted(gateway.registry.servers.items())
    )
