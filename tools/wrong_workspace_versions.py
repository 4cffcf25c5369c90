"""Keys, limits and fair order made wrong in one place each, with the tests that fail then.

Owns these rows of the list; `wrong_versions` runs them beside those of `wrong_version_list`.
"""

from .wrong_version_list import WrongVersion

_WORKSPACES = "sprucewinch/gateway/workspaces"
_QUOTAS = "sprucewinch/gateway/quotas"
_REQUESTS = "sprucewinch/gateway/requests"
_KEYS = ("tests.test_gateway_keys",)
_QUOTA = ("tests.test_gateway_quota",)

WORKSPACE_VERSIONS = (
    WrongVersion(
        "UNASKED",
        "the caller's key and its own word for its workspace are passed on",
        f"{_REQUESTS}/callers/request_reader.py",
        "own = (names.deadline_ms, names.expected, names.api_key, names.workspace)",
        "own = (names.deadline_ms, names.expected)",
        _KEYS,
    ),
    WrongVersion(
        "ROUTE",
        "an unknown key is accepted",
        f"{_WORKSPACES}/key_table.py",
        "return Caller(problem=KeyProblem.BEHIND if age_s > config_s else KeyProblem.UNKNOWN)",
        "return Caller()",
        _KEYS,
    ),
    WrongVersion(
        "DENIED",
        "a VM that is behind says 401 of a key that may be new",
        f"{_WORKSPACES}/key_table.py",
        "KeyProblem.BEHIND if age_s > config_s else KeyProblem.UNKNOWN",
        "KeyProblem.UNKNOWN",
        _KEYS,
    ),
    WrongVersion(
        "DENIED",
        "a refusal by key waits for the body",
        f"{_REQUESTS}/app.py",
        "refusal = await self._refusal_by_head(request, exchange.relayed)",
        "refusal = await self._read_body(exchange, request)",
        _KEYS,
    ),
    WrongVersion(
        "HOME",
        "a workspace's regions do not bind",
        f"{_WORKSPACES}/allowed_regions.py",
        "if workspace is None or not workspace.regions:",
        "if True:",
        _KEYS,
    ),
    WrongVersion(
        "QUOTA",
        "buckets begin with their whole burst, so that a restart gives it again",
        f"{_QUOTAS}/bucket.py",
        "self.level = limit.first * part",
        "self.level = limit.capacity * part",
        _QUOTA,
    ),
    WrongVersion(
        "QUOTA",
        "the time for which a VM may use what it was given is not counted",
        f"{_WORKSPACES}/workspace_quota.py",
        "margin = bound - rate * (bounds.quota_window_s + GRANT_RETURNABLE_S)",
        "margin = bound - rate * bounds.quota_window_s",
        _QUOTA,
    ),
    WrongVersion(
        "QUOTA",
        "a hall that falls apart gives its part several times",
        f"{_QUOTAS}/owners.py",
        "part = len(vms.in_touch) / vms.registered / most",
        "part = 1 / most",
        _QUOTA,
    ),
    WrongVersion(
        "QUOTA",
        "after a pause a VM gives what it had saved up, though another took its place",
        f"{_QUOTAS}/parts.py",
        "if now - self._ticked_at > _MAX_TICK_GAP_S:",
        "if False:",
        _QUOTA,
    ),
    WrongVersion(
        "QUOTA",
        "what did not run is not given back",
        f"{_REQUESTS}/pipeline.py",
        "self.admission.give_back(request.caller)",
        "pass",
        _KEYS,
    ),
    WrongVersion(
        "QUOTA",
        "what a VM did not use is lost to the others",
        f"{_QUOTAS}/quotas.py",
        "self.exchange.give_back(grant.owner, name, grant.count)",
        "pass",
        _QUOTA,
    ),
    WrongVersion(
        "QUOTA",
        "a part that nobody asked for begins to gain with its first request",
        f"{_QUOTAS}/parts.py",
        "since = max(self._began_at, self.owners.changed_at)",
        "since = now",
        _QUOTA,
    ),
    WrongVersion(
        "fair shares",
        "nobody is ahead of its share",
        f"{_WORKSPACES}/fair_order.py",
        "return max(0, int(usage.requests / usage.weight / mean) - 1)",
        "return 0",
        ("tests.test_gateway_fair_order",),
    ),
    WrongVersion(
        "SECRET",
        "an unusable configuration is told with what stands in it",
        "platform/known_workspaces.py",
        'raise WireError(f"{_TENANTS}: {field_name} of {name!r} is no list of texts")',
        'raise WireError(f"{_TENANTS}: {field_name} of {name!r} is {found!r}")',
        _KEYS,
    ),
)
