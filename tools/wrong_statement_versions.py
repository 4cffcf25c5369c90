"""What follows from servers' statements made wrong in one place each, with tests that fail then.

Owns these rows of the list; `wrong_versions` runs them beside those of `wrong_version_list`.
"""

from .wrong_version_list import WrongVersion

_STATEMENTS = "sprucewinch/gateway/statements"
_REQUESTS = "sprucewinch/gateway/requests"
_SERVERS = "sprucewinch/gateway/servers"
_LIMITS = ("tests.test_gateway_server_limits",)
_STATED = ("tests.test_gateway_stated_limit",)
_ROWS = ("tests.test_gateway_process_statements",)
_READ = ("tests.test_gateway_statements",)
_PROBES = ("tests.test_gateway_probe",)

STATEMENT_VERSIONS = (
    WrongVersion(
        "LIMIT",
        "each VM keeps a server's limit for itself",
        f"{_STATEMENTS}/server_quotas.py",
        "decision = await self.quotas.take(quota)",
        "decision = QuotaDecision(QuotaEnd.ADMITTED)",
        _LIMITS,
    ),
    WrongVersion(
        "LIMIT",
        "an answer to an earlier request ends a limit",
        f"{_STATEMENTS}/stated_limit.py",
        "if not self.is_stated(now) or began_at < self.stated_at:",
        "if not self.is_stated(now):",
        _STATED,
    ),
    WrongVersion(
        "LIMIT",
        "an older report changes what the server itself has said",
        f"{_STATEMENTS}/stated_limit.py",
        'elif at > max(self.stated_at, self.ended_at or float("-inf")):',
        "else:",
        _STATED,
    ),
    WrongVersion(
        "LIMIT",
        "a server gets its whole share at once when its limit ends",
        f"{_STATEMENTS}/stated_limit.py",
        "return rate * 2 ** (since_end_s / _DOUBLING_S) if since_end_s < _RAMP_UP_S else None",
        "return None",
        _STATED,
    ),
    WrongVersion(
        "LIMIT",
        "what was not sent after all is lost to the others",
        f"{_STATEMENTS}/server_quotas.py",
        "self.quotas.give_back(grant.quota, grant.decision)",
        "pass",
        ("tests.test_gateway_server_quotas",),
    ),
    WrongVersion(
        "LIMIT",
        "other VMs are not told",
        f"{_STATEMENTS}/statements.py",
        "self.send(report, changed)",
        "pass",
        _READ,
    ),
    WrongVersion(
        "LIMIT",
        "a VM that starts asks nobody",
        f"{_STATEMENTS}/start_asks.py",
        "self.datagrams.send(StatementsRequest(), [member.peer_address for member in asked])",
        "pass",
        _READ,
    ),
    WrongVersion(
        "DRAIN",
        "a server's word goes with its entry",
        f"{_SERVERS}/backend_registry.py",
        "server.stated = self.statement_table.rows.setdefault(\n"
        "            ServerProcessId.of(backend), server.stated\n        )",
        "pass",
        _ROWS,
    ),
    WrongVersion(
        "DRAIN",
        "the word of a process holds for the next one under its id",
        f"{_STATEMENTS}/process_statements.py",
        "return cls(backend.id, backend.incarnation or 0)",
        "return cls(backend.id, 0)",
        _ROWS,
    ),
    WrongVersion(
        "BUDGET",
        "a shorter pause that is asked for later cuts the one before",
        f"{_STATEMENTS}/process_statements.py",
        "self.pause_until = max(self.pause_until, now + pause_s)",
        "self.pause_until = now + pause_s",
        _ROWS,
    ),
    WrongVersion(
        "BUDGET",
        "the last resort goes to a server that asked for a pause",
        f"{_REQUESTS}/choice/server_selection.py",
        "if not s.limited_as_cold(now) and declines_until(request, s, now) is None",
        "if not s.limited_as_cold(now)",
        _ROWS,
    ),
    WrongVersion(
        "BUDGET",
        "a pause is not checked again before the first byte",
        f"{_REQUESTS}/sender.py",
        "or stated.pause_until > now",
        "or False",
        _ROWS,
    ),
    WrongVersion(
        "LIMIT",
        "an answer to another request is taken for the server's word",
        f"{_STATEMENTS}/statement.py",
        "if request_id and answer.header(names.request_id) != request_id:",
        "if False:",
        _READ,
    ),
    WrongVersion(
        "BUDGET",
        "probes go to servers that leave, pause or limit themselves",
        f"{_SERVERS}/probe.py",
        "if self._declines_requests(server):",
        "if False:",
        _PROBES,
    ),
    WrongVersion(
        "DRAIN",
        "what a server states in the answer to a probe is not read",
        f"{_SERVERS}/probe.py",
        "self._take_statement(answer, server, started)",
        "pass",
        _PROBES,
    ),
    WrongVersion(
        "DRAIN",
        "another process at a server's address speaks for it in the answer to a probe",
        f"{_SERVERS}/probe.py",
        "if not self._same_process(answer, server):",
        "if False:",
        _PROBES,
    ),
)
