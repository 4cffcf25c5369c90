"""Reconstructs what happened to one request from the structured lines of the VMs' logs.

Owns the words for each outcome and which lines belong to a request. Pipes and filters over lines:
parse, find the request, keep what happened around it on the same VM and to the servers that it
touched, and describe it in order of time. Relies on the event and field names of the routed path's
log, which `tests.test_formats_lines` holds; reads files whole.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple, Optional

import msgspec

from ..errors import LogError
from .deciding_rule import deciding_rule

NEAR_S = 5.0
"""How long before a request's last line related lines are looked for, in seconds."""

_MEANINGS = {
    "answered": "a backend server's own answer was passed on",
    "no-room": "not run: its server had no room, and it was not sent",
    "crashes-servers": "not run: equal requests have crashed the servers that ran them",
    "no-time": "not run: less time was left than any answer of its service takes",
    "no-server": "not run: no server of its service could be used",
    "stopping": "not run: its VM stopped before it was sent",
    "no-configuration": "not run: the VM knew no configuration yet",
    "no-route": "no route of the configuration in force takes it",
    "unknown-key": "its API key is missing, or no workspace of the configuration in force has it",
    "behind": "not run: its VM had not heard from the store for too long to accept its API key",
    "over-quota": "not run: its workspace had sent as many requests as it may",
    "no-quota": "not run: no VM answered that knows how many requests its workspace has sent",
    "no-region": "not run: its route and its workspace allow no region in common",
    "too-large": "its body is larger than the configuration allows",
    "malformed": "its target is no path",
    "timeout": "the route's or the caller's time was over; it may have run",
    "failed": "the last server gave no whole answer; it may have run",
    "left": "its caller left before there was an answer",
}
"""What each outcome of a request means; programs read these words with --json."""

_ATTEMPT_WORDS = {"answered": "answered", "not-run": "did not run it", "unknown": "may have run it"}
"""What a backend server did with an attempt, by its verdict."""

_VM_EVENTS = frozenset(("store", "follows", "configuration", "start", "stopping", "stop", "reload"))
"""Events of a whole VM, which belong to every request that it handles then."""


class Line(NamedTuple):
    """One structured line.

    Args:
        vm: The line's prefix, such as the name of the VM; empty when there is none.
        time: Time of day at the VM, in seconds.
        event: Name of the event.
        fields: All its fields.
    """

    vm: str
    time: float
    event: str
    fields: dict[str, Any]


class Story(NamedTuple):
    """What happened to a request.

    Args:
        request_id: Id of the request.
        meaning: What its outcome means.
        rule: Module below `sprucewinch/gateway` that decided; empty for an unknown outcome.
        lines: One text for each thing that happened, in order of time.
    """

    request_id: str
    meaning: str
    rule: str
    lines: tuple[str, ...]


def parse(lines: Iterable[str]) -> Iterator[Line]:
    """Yield the structured lines among others.

    Args:
        lines: Lines of one or more logs, each with or without a prefix such as the VM's name.
    """
    for text in lines:
        prefix, brace, rest = text.partition("{")
        if not brace:
            continue
        try:
            fields = msgspec.json.decode(brace + rest, type=dict[str, Any])
            time, event = float(fields["time"]), str(fields["event"])
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            # Logs hold lines of other programs and broken ones; none of them belongs to a request.
            continue
        words = prefix.split()
        yield Line(words[-1] if words else "", time, event, fields)


def reconstruct(lines: Iterable[Line], request_id: str) -> Story:
    """Return the story of a request.

    Args:
        lines: Parsed lines, in any order.
        request_id: Its id, or the start of it.

    Raises:
        LogError: When no line names the request, or when the start names several.
    """
    held = sorted(lines, key=lambda line: line.time)
    request = _find(held, request_id)
    servers = _servers(request)
    texts = [_text(line, request.time) for line in held if _belongs(line, request, servers)]
    outcome = str(request.fields.get("outcome", ""))
    return Story(
        str(request.fields["id"]),
        _MEANINGS.get(outcome, outcome),
        deciding_rule(request.fields),
        tuple(texts),
    )


def read_story(paths: Iterable[str], request_id: str) -> Story:
    """Return the story of a request from log files.

    Args:
        paths: The files.
        request_id: Its id, or the start of it.

    Raises:
        LogError: When a file cannot be read, or the request is not found.
    """
    lines: list[Line] = []
    for path in paths:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as file:
                lines += parse(file)
        except OSError as error:
            raise LogError(f"{path}: {error.strerror}", "give the path of a log") from None
    return reconstruct(lines, request_id)


def _find(lines: list[Line], request_id: str) -> Line:
    found = {
        str(line.fields.get("id")): line
        for line in lines
        if line.event == "request" and str(line.fields.get("id", "")).startswith(request_id)
    }
    if not request_id or not found:
        remedy = "look in the logs of all VMs; `lines_dropped` counts lines that are missing"
        raise LogError(f"no line tells of request {request_id!r}", remedy)
    if len(found) > 1 and request_id not in found:
        raise LogError(f"{len(found)} requests begin with {request_id!r}", "give the whole id")
    return found.get(request_id) or next(iter(found.values()))


def _servers(request: Line) -> set[str]:
    """Return the backend servers that a request was sent to, or that had no room for it."""
    servers = {str(send[0]) for send in request.fields.get("sends", [])}
    blocked = request.fields.get("blocked") or {}
    return servers | {str(blocked.get("server_id", ""))} - {""}


def _belongs(line: Line, request: Line, servers: set[str]) -> bool:
    if line is request:
        return True
    if not request.time - NEAR_S <= line.time <= request.time:
        return False
    if line.fields.get("id") == request.fields["id"]:
        return True
    if line.vm != request.vm:
        return False
    if line.event in _VM_EVENTS:
        return True
    key = str(line.fields.get("key", ""))
    return line.fields.get("server") in servers or key.rpartition("/")[2] in servers


def _text(line: Line, request_time: float) -> str:
    before_s = request_time - line.time
    at = "" if before_s <= 0 else f"{before_s:.3f} s before: "
    if line.event == "request":
        return at + _request_text(line.fields)
    inputs = " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in ("time", "event"))
    return f"{at}{line.event} {inputs}".rstrip()


def _request_text(fields: dict[str, Any]) -> str:
    parts = [f"request {fields.get('outcome')} with {fields.get('status')}"]
    parts.append(f"after {fields.get('ms')} ms")
    parts.append(f"route {fields.get('route') or 'none'}, version {fields.get('version')}")
    if fields.get("workspace"):
        parts.append(f"workspace {fields['workspace']}")
    for server, verdict, why, ms in fields.get("sends", []):
        parts.append(f"{server} {_ATTEMPT_WORDS.get(verdict, verdict)} ({why}, {ms} ms)")
    blocked = _blocked_text(fields.get("blocked"))
    return "; ".join([*parts, *blocked])


def _blocked_text(blocked: Optional[dict[str, Any]]) -> list[str]:
    if not blocked:
        return []
    if not blocked.get("server_id"):
        return ["no server could be used"]
    return [
        f"{blocked['server_id']} had {blocked.get('in_flight')} of this VM's requests "
        f"({blocked.get('window')} allowed) and a load of {blocked.get('load')}, as it said "
        f"{blocked.get('told_s')} s before"
    ]
