"""The configuration of the soak's deployment, and the versions of it that operators write.

Owns the names of the host, the services and the permanent routes, the current service of each
route, the workspaces with their keys and rates, and the current version number. Each version is
written to the stand-in of the store and to the ledger, from which `promises` knows which versions
may decide a request.
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
"""Routes of every version; requests of `RATES` may run twice, those of `BOOK` only once."""

DOWNLOADS = "files"
"""Added route of large answers, whose requests may run twice."""

ORDERS = "orders"
"""Added route of bookings that take long, which run only once."""

ONCE = (BOOK, ORDERS)
"""Routes whose requests run only once."""

STANDING_ROUTES = (RATES, BOOK)
"""Routes that every version has."""

ROUTE_TIMEOUT_S = 2.0
"""Timeout of every route but `ORDERS`, in seconds."""

_ORDERS_TIMEOUT_S = 3.0
"""Timeout of `ORDERS`, in seconds."""

_CONNECTIONS = 100
"""Connections that a backend server accepts."""

COLD_PER_S = 20.0
"""Requests a second that a cold backend server may get, unless the day says otherwise."""

KEY_START = "key-of-"
"""Prefix of every API key, by which a key is found where none may be shown."""

WORKSPACES = ("shipper", "broker", "desk")
"""Workspaces, the one with the highest rate first."""

RATES_PER_S = {"shipper": 100.0, "broker": 70.0, "desk": 50.0}
"""Limit of each workspace in requests a second: above the usual load of its callers."""

QUOTA_OVER = 0.1
"""Fraction by which a window may exceed a limit. Bound `QuotaOver` of the platform's example."""

QUOTA_SLACK = 20.0
"""Further requests that may exceed it. Bound `QuotaSlack` of the platform's example."""

_ROUTE_TYPES = {BOOK: "unsafe", ORDERS: "unsafe", DOWNLOADS: "download"}
"""Types of the routes that are not `safe`."""

_FIRST_VERSION = 3
"""Number before that of the first version; versions need not begin at 1."""


class Configuration:
    """The current configuration, as operators change it.

    Args:
        store: Store to which versions are written.
        ledger: Record of the day.
        cold_per_s: Requests a second that a cold backend server may get.

    Attributes:
        services: Service of each route, by the route's name.
        keys: API keys of each workspace.
        rates_per_s: Limit of each workspace in requests a second.
    """

    def __init__(self, store: StoreStandIn, ledger: Ledger, cold_per_s: float = COLD_PER_S) -> None:
        self.cold_per_s = cold_per_s
        self.services = {RATES: "rates", BOOK: "booking"}
        self.keys = {name: [first_key(name)] for name in WORKSPACES}
        self.rates_per_s = dict(RATES_PER_S)
        self._store = store
        self._ledger = ledger
        self._version = _FIRST_VERSION

    def write(self) -> None:
        """Write a new version with the current routes, keys and rates."""
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
                "ColdPerS": self.cold_per_s,
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
    """Return the API key that a workspace has in every version."""
    return f"{KEY_START}{workspace}-that-stays"


def timeout_s(route: str) -> float:
    """Return the timeout of a route, in seconds."""
    return _ORDERS_TIMEOUT_S if route == ORDERS else ROUTE_TIMEOUT_S


def _path(name: str, service: str) -> dict[str, Any]:
    return {
        "Name": name,
        "PathPrefix": f"/{name}/",
        "RouteType": _ROUTE_TYPES.get(name, "safe"),
        "Timeout": f"{timeout_s(name):g}s",
        "Service": service,
        "MaxAttempts": 1 if name in ONCE else 2,
        "SessionAffinity": True,
    }
