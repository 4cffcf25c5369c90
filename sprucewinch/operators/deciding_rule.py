"""Names the rule of the routed path that decided a request's end, from its log line alone.

Question: which module of `sprucewinch/gateway` does an engineer on call read to see why a request
ended as it did? Input: the fields of an event `request`. Rule: the outcome names the module; where
one outcome has several rules, whether the request was sent and whether a server is named decides.

Owns the table. Relies on the names of outcomes and fields, which `tests.test_formats_lines` holds,
and on module paths, which `tests.test_story` checks. Imports nothing of the gateway: logs may come
from VMs of another version.
"""

from typing import Any

_BY_OUTCOME = {
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
    "stopping": "requests/outcome/final_answer.py",
    "timeout": "requests/outcome/hold_time.py",
    "crashes-servers": "crashes/quarantine.py",
    "no-time": "requests/outcome/time_left.py",
    "failed": "requests/outcome/retry_decision.py",
    "left": "requests/app.py",
}
"""The deciding module of each outcome that has one."""

_WHY = 2
"""Place of the cause in one of the `sends`."""

_NOT_OFFERED = "not-offered"
"""Cause of a send whose server left before it got a byte: it is always sent again, so that the
selection after it decides."""

RETRY_DECISION = "requests/outcome/retry_decision.py"
ROOM = "requests/choice/room.py"
BODY_ADMISSION = "requests/callers/body_admission.py"
USABILITY = "servers/usability.py"

RULES = frozenset((*_BY_OUTCOME.values(), RETRY_DECISION, ROOM, BODY_ADMISSION, USABILITY))
"""All modules that are named."""


def deciding_rule(fields: dict[str, Any]) -> str:
    """Return the module that decided a request's end, below `sprucewinch/gateway`.

    Args:
        fields: Fields of its event `request`.

    Returns:
        The module's path; empty for an outcome that is not known here.
    """
    outcome = str(fields.get("outcome", ""))
    if outcome not in ("no-room", "no-server"):
        return _BY_OUTCOME.get(outcome, "")
    sends = fields.get("sends")
    if sends and sends[-1][_WHY] != _NOT_OFFERED:
        return RETRY_DECISION
    if outcome == "no-server":
        return USABILITY
    return ROOM if sends or fields.get("blocked") else BODY_ADMISSION
