"""Reconstructs the trace of one request from the structured lines of the VMs' logs.

The module owns the description of each outcome and decides which log lines are related to a
request. It parses the lines, finds the request, keeps what happened shortly before on the same VM
and to the backend servers that the request was sent to, and describes it in order of time. It
relies on the event and field names of the routed path's log, which `tests.test_formats_lines`
checks. Log files are read into memory whole.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple, Optional

import msgspec

from ..errors import LogError
from .deciding_rule import deciding_rule

RELATED_LINES_WINDOW_S = 5.0
"""How long before a request's own line a line may be related to it."""

_OUTCOME_MEANINGS = {
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
"""What each outcome of a request means; programs read these texts with --json."""

_ADMISSION_MEANINGS = {
    "more-urgent-waits": "requests that go before it need the room",
    "target-missed": "its answer was expected after the route's latency target",
    "deadline-missed": "its answer was expected after its caller or its route gives up",
}
"""Why admission refused a request, by the reason in `blocked`."""

_VERDICT_DESCRIPTIONS = {
    "answered": "answered",
    "not-run": "did not run it",
    "unknown": "may have run it",
}
"""What a backend server did with an attempt, by its verdict."""

_VM_EVENTS = frozenset(("store", "follows", "configuration", "start", "stopping", "stop", "reload"))
"""Events of a whole VM, which are related to every request that it handles at the time."""


class LogLine(NamedTuple):
    """One structured log line.

    Args:
        vm: Last word before the line's JSON, such as the name of the VM; empty when there is none.
        time: Time of day at the VM, in seconds.
        event: Name of the event.
        fields: All fields of the line, time and event included.
    """

    vm: str
    time: float
    event: str
    fields: dict[str, Any]


class RequestTrace(NamedTuple):
    """What happened to a request.

    Args:
        request_id: Id of the request.
        meaning: What its outcome means; the outcome itself when it is not known here.
        rule: Module that decided the outcome, below `sprucewinch/gateway`; empty for an outcome
            that is not known here.
        lines: Description of each related log line, in order of time.
    """

    request_id: str
    meaning: str
    rule: str
    lines: tuple[str, ...]


def parse_log_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the structured lines and skip all others.

    Args:
        lines: Lines of one or more logs, each with or without a prefix such as the VM's name.
    """
    for line in lines:
        prefix, brace, rest = line.partition("{")
        if not brace:
            continue
        try:
            fields = msgspec.json.decode(brace + rest, type=dict[str, Any])
            time, event = float(fields["time"]), str(fields["event"])
        except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
            # Logs also contain truncated lines and lines of other programs; all are skipped.
            continue
        prefix_words = prefix.split()
        yield LogLine(prefix_words[-1] if prefix_words else "", time, event, fields)


def reconstruct_trace(lines: Iterable[LogLine], request_id: str) -> RequestTrace:
    """Return the trace of a request.

    Args:
        lines: Parsed lines, in any order.
        request_id: Id of the request, or a prefix of it.

    Raises:
        LogError: When no request has this id, or several have this prefix.
    """
    sorted_lines = sorted(lines, key=lambda line: line.time)
    request = _find_request_line(sorted_lines, request_id)
    servers = _servers_of(request)
    descriptions = [
        _describe_line(line, request.time)
        for line in sorted_lines
        if _is_related(line, request, servers)
    ]
    outcome = str(request.fields.get("outcome", ""))
    return RequestTrace(
        str(request.fields["id"]),
        _OUTCOME_MEANINGS.get(outcome, outcome),
        deciding_rule(request.fields),
        tuple(descriptions),
    )


def read_request_trace(paths: Iterable[str], request_id: str) -> RequestTrace:
    """Return the trace of a request from log files.

    Args:
        paths: Paths of the log files.
        request_id: Id of the request, or a prefix of it.

    Raises:
        LogError: When a file cannot be read, no request has this id, or several have this prefix.
    """
    lines: list[LogLine] = []
    for path in paths:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as file:
                lines += parse_log_lines(file)
        except OSError as error:
            raise LogError(f"{path}: {error.strerror}", "give the path of a log file") from None
    return reconstruct_trace(lines, request_id)


def _find_request_line(lines: list[LogLine], request_id: str) -> LogLine:
    matches = {
        str(line.fields.get("id")): line
        for line in lines
        if line.event == "request" and str(line.fields.get("id", "")).startswith(request_id)
    }
    if not request_id or not matches:
        remedy = "give the logs of all VMs; `lines_dropped` in them counts lines that are missing"
        raise LogError(f"no line for request {request_id!r}", remedy)
    if len(matches) > 1 and request_id not in matches:
        raise LogError(
            f"{len(matches)} requests have ids that start with {request_id!r}", "give the whole id"
        )
    return matches.get(request_id) or next(iter(matches.values()))


def _servers_of(request: LogLine) -> set[str]:
    """Return the backend servers that a request was sent to, or that had no room for it."""
    servers = {str(attempt[0]) for attempt in request.fields.get("sends", [])}
    blocked = request.fields.get("blocked") or {}
    return servers | {str(blocked.get("server_id", ""))} - {""}


def _is_related(line: LogLine, request: LogLine, servers: set[str]) -> bool:
    if line is request:
        return True
    if not request.time - RELATED_LINES_WINDOW_S <= line.time <= request.time:
        return False
    if line.fields.get("id") == request.fields["id"]:
        return True
    if line.vm != request.vm:
        return False
    if line.event in _VM_EVENTS:
        return True
    key = str(line.fields.get("key", ""))
    return line.fields.get("server") in servers or key.rpartition("/")[2] in servers


def _describe_line(line: LogLine, request_time: float) -> str:
    before_s = request_time - line.time
    offset = "" if before_s <= 0 else f"{before_s:.3f} s before: "
    if line.event == "request":
        return offset + _describe_request(line.fields)
    field_pairs = " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in ("time", "event"))
    return f"{offset}{line.event} {field_pairs}".rstrip()


def _describe_request(fields: dict[str, Any]) -> str:
    parts = [f"request {fields.get('outcome')} with {fields.get('status')}"]
    parts.append(f"after {fields.get('ms')} ms")
    parts.append(f"route {fields.get('route') or 'none'}, version {fields.get('version')}")
    if fields.get("workspace"):
        parts.append(f"workspace {fields['workspace']}")
    for server, verdict, reason, ms in fields.get("sends", []):
        parts.append(f"{server} {_VERDICT_DESCRIPTIONS.get(verdict, verdict)} ({reason}, {ms} ms)")
    for server in fields.get("sooner", []):
        parts.append(f"{server} was expected to answer sooner than the server before it")
    blocked = _describe_blocked(fields.get("blocked"))
    return "; ".join([*parts, *blocked])


def _describe_blocked(blocked: Optional[dict[str, Any]]) -> list[str]:
    if not blocked:
        return []
    if not blocked.get("server_id"):
        return ["no server could be used"]
    parts = [
        f"{blocked['server_id']} had {blocked.get('in_flight')} of this VM's requests "
        f"({blocked.get('window')} allowed) and a load of {blocked.get('load')}, as it said "
        f"{blocked.get('told_s')} s before"
    ]
    reason = blocked.get("admission")
    if reason:
        parts.append(f"not admitted: {_ADMISSION_MEANINGS.get(reason, reason)}")
    return parts
