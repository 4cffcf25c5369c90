"""Finds the rule of the routed path that decided a request's outcome, from its log line alone.

The answer is the module of `sprucewinch/gateway` that an engineer on call reads to see why a
request ended as it did. The input is the fields of an event `request`. The outcome determines the
module; where several rules lead to the same outcome, the choice depends on whether the request was
sent, whether a server is named and whether admission gave a reason.

The module owns this table. It relies on the names of outcomes and fields, which
`tests.test_formats_lines` checks, and on module paths, which `tests.test_story` checks. It imports
nothing of the gateway, since logs may come from VMs of another version.
"""

from typing import Any

_RULE_BY_OUTCOME = {
    "answered": "requests/verdict.py",
    "no-configuration": "requests/routes_in_force.py",
    "no-route": "requests/routes.py",
    "unknown-key": "workspaces/key_table.py",
    "behind": "workspaces/key_table.py",
    "over-quota": "quotas/bucket.py",
    "no-quota": "quotas/quotas.py",
    "no-region": "workspaces/allowed_regions.py",
    "too-large": "requests/callers/body_admission.py",
    "malformed": "requests/callers/request_reader.py",
    "stopping": "requests/outcome/process_end.py",
    "timeout": "requests/outcome/hold_time.py",
    "crashes-servers": "crashes/quarantine.py",
    "no-time": "requests/outcome/time_left.py",
    "failed": "requests/outcome/retry_decision.py",
    "left": "requests/app.py",
}
"""The deciding module of each outcome that only one module decides."""

_REASON_INDEX = 2
"""Index of the reason in an entry of `sends`."""

_NOT_OFFERED = "not-offered"
"""Reason of an attempt whose server left before it received a byte. Such a request is always sent
again, so that the next selection of a server decides."""

RETRY_DECISION = "requests/outcome/retry_decision.py"
ROOM = "requests/choice/room.py"
ADMISSION = "requests/admission/admission.py"
BODY_ADMISSION = "requests/callers/body_admission.py"
USABILITY = "servers/usability.py"

RULE_MODULES = frozenset(
    (*_RULE_BY_OUTCOME.values(), RETRY_DECISION, ROOM, ADMISSION, BODY_ADMISSION, USABILITY)
)
"""All modules that `deciding_rule` may return."""


def deciding_rule(fields: dict[str, Any]) -> str:
    """Return the module that decided a request's outcome.

    Args:
        fields: Fields of the request's event `request`.

    Returns:
        The module's path below `sprucewinch/gateway`; empty for an outcome that is not known here.
    """
    outcome = str(fields.get("outcome", ""))
    if outcome not in ("no-room", "no-server"):
        return _RULE_BY_OUTCOME.get(outcome, "")
    sends = fields.get("sends")
    if sends and sends[-1][_REASON_INDEX] != _NOT_OFFERED:
        return RETRY_DECISION
    if outcome == "no-server":
        return USABILITY
    blocked = fields.get("blocked")
    if blocked and blocked.get("admission"):
        return ADMISSION
    return ROOM if sends or blocked else BODY_ADMISSION
