"""What VMs know of servers' load and pace made wrong in one place each, with tests that fail then.

Owns these rows of the list; `wrong_versions` runs them beside those of `wrong_version_list`.
"""

from .wrong_version_list import WrongVersion

_SHARING = "sprucewinch/gateway/load_sharing"
_SERVERS = "sprucewinch/gateway/servers"
_CAPACITY = f"{_SERVERS}/capacity"
_FLEET = ("tests.test_gateway_load_sharing",)
_RULES = ("tests.test_gateway_load_sharing_rules",)
_USUAL = ("tests.test_gateway_usual_load",)

LOAD_VERSIONS = (
    WrongVersion(
        "load",
        "an old report fades to an idle server",
        f"{_CAPACITY}/load.py",
        "usual_others = max(0.0, usual - in_flight)",
        "usual_others = 0.0",
        _USUAL,
    ),
    WrongVersion(
        "load",
        "an older statement replaces a newer one",
        f"{_CAPACITY}/load.py",
        "if (at, others) <= (self.recorded_at, self.others):",
        "if False:",
        _RULES,
    ),
    WrongVersion(
        "load",
        "requests sent after a statement are taken for a part of it",
        f"{_SERVERS}/backend_server.py",
        "own = sum(started < at for started in self.started)",
        "own = len(self.started)",
        _USUAL,
    ),
    WrongVersion(
        "pace",
        "a stated pace does not fade",
        f"{_CAPACITY}/pace.py",
        "* 0.5 ** (age_s / PACE_HALF_LIFE_S)",
        "* 0.5 ** (0 * age_s)",
        ("tests.test_gateway_pace",),
    ),
    WrongVersion(
        "pace",
        "a server that is slow by its stated pace is ejected",
        f"{_SERVERS}/outliers.py",
        "work_s / pace, _PACED_SLOW_FACTOR",
        "work_s, _PACED_SLOW_FACTOR",
        ("tests.test_gateway_outliers.StatedPaces",),
    ),
    WrongVersion(
        "pace",
        "one long request counts against a server",
        f"{_SERVERS}/outliers.py",
        "if slow_before or not slow:",
        "if True:",
        ("tests.test_gateway_outliers.StatedPaces",),
    ),
    WrongVersion(
        "work",
        "any few long times are a group",
        f"{_CAPACITY}/work_split.py",
        "_MIN_GROUP_FRACTION = 0.1",
        "_MIN_GROUP_FRACTION = 0.001",
        ("tests.test_gateway_work_split",),
    ),
    WrongVersion(
        "summaries",
        "a late message counts as sent when it arrives",
        f"{_SHARING}/load_sharing.py",
        "self.received.apply(summary.rows, sent_at, now)",
        "self.received.apply(summary.rows, now, now)",
        _FLEET,
    ),
    WrongVersion(
        "summaries",
        "statements of any age count",
        f"{_SHARING}/received_loads.py",
        "if server is None or now - stated_at > MAX_ROW_AGE_S:",
        "if server is None:",
        _RULES,
    ),
    WrongVersion(
        "summaries",
        "a statement of an earlier process counts",
        f"{_SHARING}/load_summary.py",
        'return hash32(f"{backend.id}|{backend.incarnation or 0}")',
        "return hash32(backend.id)",
        _FLEET,
    ),
    WrongVersion(
        "summaries",
        "a large region floods a small one",
        f"{_SHARING}/recipients.py",
        "for_others * min(1.0, even_part)",
        "for_others",
        _RULES,
    ),
    WrongVersion(
        "summaries",
        "the whole bound is used for sending",
        f"{_SHARING}/recipients.py",
        "_SENT_FRACTION = 0.45",
        "_SENT_FRACTION = 0.9",
        _FLEET,
    ),
    WrongVersion(
        "summaries",
        "a VM that stood still dates what waited in its buffers",
        f"{_SHARING}/load_sharing.py",
        "if now < self._settled_at and not self.clocks.knows(summary.sender):",
        "if False:",
        _FLEET,
    ),
)
