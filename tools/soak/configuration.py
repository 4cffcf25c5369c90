"""The configuration of the soak's deployment, and the versions of it that operators write.

Owns the names of host, services and standing routes, which service each route has at the moment,
the workspaces with their keys and rates, and the number of the version in force. Each version goes
to the stand-in of the store and into the ledger, by which `promises` knows what may decide a
request.
"""

import asyncio
import json
from typing import Any

from standins.consortium_store import StoreStandIn
from standins.scripted_server import HEALTH_PATH

from .ledger import Ledger, Version

HOST = "quotes.example"
SERVICES = ("rates", "booking")
RATES, BOOK = "rates", "book"
"""Routes that every version has: requests of the first may run twice, those of the second not."""

STANDING_ROUTES = (RATES, BOOK)
"""All routes that never come or go."""

ROUTE_TIMEOUT_S = 2.0
"""Timeout of every route, in seconds. A guess, never measured."""

_CONNECTIONS = 100
"""Connections that a backend server accepts. A guess, never measured."""

_COLD_PER_S = 20.0
"""Requests a second that a cold backend server bears. A guess, never measured."""

KEY_START = "key-of-"
"""Start of every API key, by which one is found where none may stand."""

WORKSPACES = ("shipper", "broker", "desk")
"""Workspaces, in order of size."""

RATES_PER_S = {"shipper": 100.0, "broker": 70.0, "desk": 50.0}
"""Requests a second that each may send: more than its callers send while nobody is hot."""

QUOTA_OVER = 0.1
"""Part of a limit that may be passed in a window. Bound `QuotaOver` of the platform's example."""

QUOTA_SLACK = 20.0
"""Requests beyond that. Bound `QuotaSlack` of the platform's example."""

_FIRST_VERSION = 3
"""Number before that of the first configuration; versions need not begin at 1."""


class Configuration:
    """What operators have the entry VMs do; `services` is the service of each route.

    Args:
        store: The store that it is written to.
        ledger: Record of the day.
    """

    def __init__(self, store: StoreStandIn, ledger: Ledger) -> None:
        self.services = {RATES: "rates", BOOK: "booking"}
        self.keys = {name: [first_key(name)] for name in WORKSPACES}
        self.rates_per_s = dict(RATES_PER_S)
        self._store = store
        self._ledger = ledger
        self._version = _FIRST_VERSION

    def write(self) -> None:
        """Write a new version with the services that the routes have now."""
        self._version += 1
        self._store.put("op/config", json.dumps(self._table()).encode())
        now = asyncio.get_running_loop().time()
        keys = frozenset(key for held in self.keys.values() for key in held)
        self._ledger.versions.append(
            Version(self._version, now, dict(self.services), keys, dict(self.rates_per_s))
        )

    def _table(self) -> dict[str, Any]:
        rules = [
            {
                "Name": name,
                "MaxConnections": _CONNECTIONS,
                "HealthPath": HEALTH_PATH,
                "Warmup": "1s",
                "ColdPerS": _COLD_PER_S,
            }
            for name in SERVICES
        ]
        paths = [_path(name, service) for name, service in self.services.items()]
        return {
            "Version": f"r{self._version}",
            "Services": rules,
            "Limits": {"IdleTimeout": "15000ms"},
            "Hosts": [{"Hostname": HOST, "Paths": paths}],
            "Tenants": [self._workspace(name) for name in WORKSPACES],
        }

    def _workspace(self, name: str) -> dict[str, Any]:
        rate = self.rates_per_s[name]
        return {"Name": name, "ApiKeys": self.keys[name], "RatePerS": rate, "Burst": rate}


def first_key(workspace: str) -> str:
    """Return the key that a workspace has in every version."""
    return f"{KEY_START}{workspace}-that-stays"


def _path(name: str, service: str) -> dict[str, Any]:
    return {
        "Name": name,
        "PathPrefix": f"/{name}/",
        "RouteType": "unsafe" if name == BOOK else "safe",
        "Timeout": f"{ROUTE_TIMEOUT_S:g}s",
        "Service": service,
        "MaxAttempts": 1 if name == BOOK else 2,
        "SessionAffinity": True,
    }
