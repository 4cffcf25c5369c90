"""Shows that the proofs of the platform's rules fail on wrong versions of the mechanisms.

    python -m tools.wrong_versions

For each rule a copy of the sources is made wrong in one place, and that rule's tests run on it.
A wrong version that stays green is a proof that proves nothing.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from rich.console import Console
from rich.table import Table

from sprucewinch.errors import SprucewinchError

ROOT = Path(__file__).resolve().parent.parent
_COPIED = ("sprucewinch", "platform", "standins", "tests", "tools")
_GATEWAY = "sprucewinch/gateway"
_LONGEST_S = 180.0
"""Seconds after which the tests of a wrong version count as failed. A guess, never measured."""


class StaleVersionError(SprucewinchError):
    """The text that a wrong version replaces does not stand in its file just once."""


class WrongVersion(NamedTuple):
    """One mechanism made wrong.

    Args:
        rule: Rule that it breaks.
        what: What is wrong.
        path: File of the mechanism.
        old: Text that stands there once.
        new: What stands there in the wrong version.
        tests: Test ids that have to fail.
    """

    rule: str
    what: str
    path: str
    old: str
    new: str
    tests: tuple[str, ...]


VERSIONS = (
    WrongVersion(
        "FORMAT",
        "the tag of crash reports between entry VMs is another",
        f"{_GATEWAY}/crashes/crash_reports.py",
        'tag="crash"',
        'tag="crashed"',
        ("tests.test_formats_crashes.Formats",),
    ),
    WrongVersion(
        "FORMAT",
        "quarantined requests stand under another key",
        f"{_GATEWAY}/state/own_items.py",
        'OWN_PREFIX + "quarantine/"',
        'OWN_PREFIX + "refused/"',
        ("tests.test_formats_crashes.Formats",),
    ),
    WrongVersion(
        "BUDGET",
        "a request that crashes servers is never refused",
        f"{_GATEWAY}/crashes/quarantine.py",
        "if request.on_trial or not (self._targets or self.suspects.wait_for_judgement):",
        "if self.held is not None:",
        ("tests.test_gateway_crashing_requests",),
    ),
    WrongVersion(
        "BUDGET",
        "the quarantine is not written to the store",
        f"{_GATEWAY}/crashes/quarantine_store.py",
        "if held.revision or self._item(held.request) is not None:",
        "if held is not None:",
        ("tests.test_gateway_crashing_requests",),
    ),
    WrongVersion(
        "BUDGET",
        "each VM takes a trial of its own",
        f"{_GATEWAY}/crashes/quarantine_store.py",
        "        return won\n",
        "        return True\n",
        ("tests.test_gateway_quarantine.Ends",),
    ),
    WrongVersion(
        "BUDGET",
        "a request is not looked at again before its first byte",
        f"{_GATEWAY}/requests/sender.py",
        "if self.quarantine.refusal(request) is not None:",
        "if False and self.quarantine.refusal(request) is not None:",
        ("tests.test_gateway_quarantine.Refusals",),
    ),
    WrongVersion(
        "BUDGET",
        "a report does not bring a suspect's earlier crashes along",
        f"{_GATEWAY}/crashes/crash_reports.py",
        "            earlier = self.earlier(seen)\n",
        "            earlier = ()\n",
        ("tests.test_gateway_crash_reports.Fleets",),
    ),
    WrongVersion(
        "BUDGET",
        "an answer to what has not run clears a suspect",
        f"{_GATEWAY}/requests/sender.py",
        "            if attempt.why == ANSWERED:\n",
        "            if attempt.why:\n",
        ("tests.test_gateway_quarantine.Refusals",),
    ),
    WrongVersion(
        "DENIED",
        "a good end clears nobody",
        f"{_GATEWAY}/crashes/crash_log.py",
        "            if crash.at <= at:\n",
        "            if crash.at <= at < 0:\n",
        ("tests.test_gateway_guilt",),
    ),
    WrongVersion(
        "DENIED",
        "servers that end together count as one after the other",
        f"{_GATEWAY}/crashes/guilt.py",
        "if min(run.started + _SKEW_S, run.ended - _SKEW_S) >= ended:",
        "if run.ended >= ended:",
        ("tests.test_gateway_guilt",),
    ),
    WrongVersion(
        "DENIED",
        "a request is refused for crashes at which another one always was too",
        f"{_GATEWAY}/crashes/guilt.py",
        "    return bool(shared - {fingerprint})",
        "    return False",
        ("tests.test_gateway_guilt", "tests.test_gateway_quarantine.Others"),
    ),
    WrongVersion(
        "DENIED",
        "callers share a name where target and body are equal",
        f"{_GATEWAY}/crashes/fingerprint.py",
        "(word for header in kept for word in header)",
        "(word for header in kept[:0] for word in header)",
        ("tests.test_gateway_crash_check.Fingerprints",),
    ),
    WrongVersion(
        "DENIED",
        "a connection that ends counts as a crash",
        f"{_GATEWAY}/crashes/crash_check.py",
        "            return error.refused and not self.pool.has_open(address)",
        "            return True",
        ("tests.test_gateway_crash_check.Crashes",),
    ),
    WrongVersion(
        "CONFIG",
        "time stands still while the VM is suspended",
        "sprucewinch/clock.py",
        "time.clock_gettime(time.CLOCK_BOOTTIME)",
        "time.monotonic()",
        ("tests.test_boot_time_loop",),
    ),
    WrongVersion(
        "FORMAT",
        "the tag of progress notices between entry VMs is another",
        f"{_GATEWAY}/following/follow_role.py",
        'tag="news"',
        'tag="newz"',
        ("tests.test_formats.Datagrams",),
    ),
    WrongVersion(
        "FORMAT",
        "entry VMs register under another key",
        f"{_GATEWAY}/state/own_items.py",
        'OWN_PREFIX + "members/"',
        'OWN_PREFIX + "vms/"',
        ("tests.test_formats.OwnItems",),
    ),
    WrongVersion(
        "FORMAT",
        "a field of the lines of requests has another name",
        f"{_GATEWAY}/decision_log.py",
        '"object": request.key',
        '"key": request.key',
        ("tests.test_formats_lines.Lines",),
    ),
    WrongVersion(
        "MIXED",
        "an answer to another request is taken",
        "sprucewinch/net/connection.py",
        "return named is not None and named != self._request_id",
        "return False",
        ("tests.test_gateway_pipeline.SpoiltAnswers",),
    ),
    WrongVersion(
        "MIXED",
        "an answer without a length is whole when it is reset",
        "sprucewinch/net/connection.py",
        "if exc is None and self._clean_end and self._reader.ends_with_connection:",
        "if self._reader.ends_with_connection:",
        ("tests.test_gateway_pipeline.SpoiltAnswers", "tests.test_gateway_connection"),
    ),
    WrongVersion(
        "TWICE",
        "requests that must not run twice are sent again after a reset",
        f"{_GATEWAY}/requests/outcome/retry_decision.py",
        "return route.repeatable and request.possible_runs() < route.max_attempts",
        "return request.possible_runs() < route.max_attempts",
        ("tests.test_gateway_pipeline.SpoiltAnswers",),
    ),
    WrongVersion(
        "REFUSED",
        "a request that may have run is called not run",
        f"{_GATEWAY}/requests/outcome/final_answer.py",
        "    if request.possible_runs():\n",
        "    if False:\n",
        ("tests.test_gateway_pipeline.SpoiltAnswers",),
    ),
    WrongVersion(
        "ROUTE",
        "sends do not name the server's incarnation",
        f"{_GATEWAY}/requests/sender.py",
        'lines.append(f"{self.names.expected}: {server_id}")',
        "pass",
        ("tests.test_gateway_pipeline.Ends",),
    ),
    WrongVersion(
        "BUDGET",
        "repeats are not counted",
        f"{_GATEWAY}/requests/retry_budget.py",
        "        if self.retries.count(now) + 1 > allowed:\n",
        "        if allowed < 0:\n",
        ("tests.test_gateway_pipeline.Repeats",),
    ),
    WrongVersion(
        "GONE",
        "a send goes on when its caller leaves",
        "sprucewinch/net/connection.py",
        "        except BaseException:\n            self.close()\n            raise\n",
        "        except ExchangeFailedError:\n            self.close()\n            raise\n",
        ("tests.test_gateway_pipeline.Ends",),
    ),
    WrongVersion(
        "DENIED",
        "404 before a configuration is known",
        f"{_GATEWAY}/requests/pipeline.py",
        "return RefusalReason.NO_CONFIGURATION",
        "return RefusalReason.NO_ROUTE",
        ("tests.test_gateway_pipeline.Ends",),
    ),
    WrongVersion(
        "CONFIG",
        "an older version is taken over",
        f"{_GATEWAY}/state/store_view.py",
        "if held is not None and after.version <= held.version:",
        "if held is not None and after.version == held.version:",
        ("tests.test_platform_store.InForce",),
    ),
    WrongVersion(
        "CONFIG",
        "VMs that are not elected never follow the store themselves",
        f"{_GATEWAY}/following/follow_role.py",
        "return self.decide(now) is not FollowReason.PEERS_CURRENT",
        "return self.is_elected(now)",
        (
            "tests.test_gateway_following.InForce."
            "test_a_vm_that_is_no_store_follower_is_cut_off_from_all_others",
        ),
    ),
    WrongVersion(
        "CONFIG",
        "a VM that cannot catch up trusts its peers",
        f"{_GATEWAY}/following/follow_role.py",
        "if self._is_stuck(now):",
        "if False:",
        (
            "tests.test_gateway_following.InForce."
            "test_peers_that_tell_of_a_change_and_never_give_it",
        ),
    ),
    WrongVersion(
        "EVAC",
        "evacuations are not looked at",
        f"{_GATEWAY}/servers/usability.py",
        "    if backend.hall in evacuated:\n",
        "    if False:\n",
        ("tests.test_gateway_cold_limit.WhatIsCold",),
    ),
    WrongVersion(
        "DRAIN",
        "servers that leave get requests",
        f"{_GATEWAY}/servers/usability.py",
        "    if backend.draining:\n",
        "    if False:\n",
        ("tests.test_gateway_cold_limit.WhatIsCold",),
    ),
    WrongVersion(
        "DRAIN",
        "a request is sent though its server left while its connection came up",
        f"{_GATEWAY}/servers/backend_registry.py",
        "return server in self.usable(service)",
        "return True",
        ("tests.test_gateway_pipeline.Departures",),
    ),
    WrongVersion(
        "DRAIN",
        "every entry that goes is held for a while",
        f"{_GATEWAY}/state/outages.py",
        "return self._is_long(now) or now < self._grace_until",
        "return True",
        ("tests.test_gateway_outages",),
    ),
    WrongVersion(
        "DRAIN",
        "a VM that the store refuses alone holds servers that have left",
        f"{_GATEWAY}/state/outages.py",
        "if self._lost_at is not None and at > self._lost_at:",
        "if False:",
        ("tests.test_gateway_following.Outages",),
    ),
    WrongVersion(
        "DRAIN (directory)",
        "silent VMs are named to callers",
        f"{_GATEWAY}/membership/gossip.py",
        "return last is not None and last.row.open and now - last.at < SILENCE_S",
        "return last is not None and last.row.open",
        ("tests.test_gateway_gossip",),
    ),
    WrongVersion(
        "FAILBACK",
        "the limit on a cold server is not divided",
        f"{_GATEWAY}/servers/cold_limit.py",
        "every, left_over = divmod(requests, max(1, vms))",
        "every, left_over = divmod(requests, 1)",
        ("tests.test_gateway_cold_limit.ColdLimit",),
    ),
    WrongVersion(
        "FAILBACK",
        "a data hall taken back counts as warm",
        f"{_GATEWAY}/servers/backend_registry.py",
        "            self._return_hall(change.before.hall, change.at)\n",
        "            pass\n",
        ("tests.test_gateway_cold_limit.WhatIsCold",),
    ),
    WrongVersion(
        "SHIFT",
        "shares move without the cap",
        f"{_GATEWAY}/regions/shares.py",
        "limiter.move(self.targets[service], now)",
        "limiter.commit(self.targets[service], now)",
        ("tests.test_gateway_policies.Policies",),
    ),
    WrongVersion(
        "HOME",
        "allowed regions are not looked at",
        f"{_GATEWAY}/requests/server_order.py",
        "if not allowed or self.regions.get(server.backend.hall) in allowed",
        "if True",
        ("tests.test_gateway_pipeline.Placing",),
    ),
    WrongVersion(
        "Duty",
        "splits follow the objects alone",
        f"{_GATEWAY}/requests/split.py",
        "chosen = wanted if near_weight else min(self._weights, key=self._excess)",
        "chosen = wanted",
        ("tests.test_gateway_routes.SplitShares",),
    ),
    WrongVersion(
        "RECOVER",
        "a VM starts only from the store",
        f"{_GATEWAY}/following/peer_follower.py",
        "            await self._start_from_peer()\n",
        "",
        ("tests.test_gateway_following.Outages",),
    ),
    WrongVersion(
        "LOST",
        "a stop ends at once",
        f"{_GATEWAY}/lifecycle/shutdown.py",
        "        await self._until(lambda: False, times.linger_until)\n",
        "        times = stop_times(self.monotonic(), _STOP_MARGIN_S)\n",
        ("tests.test_process_gateway.Requests.test_a_stop_cuts_nothing_off",),
    ),
    WrongVersion(
        "LOST",
        "a stop does not wait for callers that read slowly",
        f"{_GATEWAY}/lifecycle/shutdown.py",
        "        await self._until(lambda: self.listeners.closed, times.closed_by)\n",
        "        await self._until(lambda: not self.app.in_flight, times.closed_by)\n",
        ("tests.test_process_gateway.Requests.test_a_stop_waits_for_a_caller_that_reads_slowly",),
    ),
    WrongVersion(
        "UNASKED",
        "a request is sent on without its query",
        f"{_GATEWAY}/requests/sender.py",
        'lines = [f"{request.method} {request.target} HTTP/1.1"',
        'lines = [f"{request.method} {request.path} HTTP/1.1"',
        (
            "tests.test_process_gateway.Requests"
            ".test_requests_pass_unchanged_and_lines_tell_of_them",
        ),
    ),
    WrongVersion(
        "slow servers",
        "nobody is ejected",
        f"{_GATEWAY}/servers/outliers.py",
        "return now < record.ejected_until",
        "return False",
        ("tests.test_gateway_outliers.SlowServers",),
    ),
    WrongVersion(
        "slow servers",
        "objects that are new to a server count",
        f"{_GATEWAY}/servers/outliers.py",
        "return now - before <= _WARM_S",
        "return True",
        ("tests.test_gateway_outliers.SlowServers",),
    ),
    WrongVersion(
        "SHIFT",
        "a region's servers are ejected without a bound",
        f"{_GATEWAY}/servers/outliers.py",
        "_MOST_PART_OF_REGION = 0.34",
        "_MOST_PART_OF_REGION = 1.0",
        ("tests.test_gateway_outliers.FailingServers",),
    ),
    WrongVersion(
        "headroom",
        "a region whose figures are missing gains callers",
        f"{_GATEWAY}/regions/shares.py",
        "age_s=None if self.policies.service_reads_measures(service) else 0.0",
        "age_s=0.0",
        ("tests.test_gateway_region_reports.PoliciesThatMeasure",),
    ),
    WrongVersion(
        "servers born again",
        "a later process keeps what is known of the one before",
        f"{_GATEWAY}/servers/backend_registry.py",
        "        if succession is Succession.LATER:\n            self._end(backend.id)\n",
        "",
        ("tests.test_gateway_incarnations",),
    ),
    WrongVersion(
        "servers born again",
        "an outdated entry brings the process before back",
        f"{_GATEWAY}/servers/incarnations.py",
        "if entry.incarnation < known:",
        "if False:",
        ("tests.test_gateway_incarnations",),
    ),
    WrongVersion(
        "servers born again",
        "requests that the process before held wait until their time is up",
        f"{_GATEWAY}/requests/sender.py",
        "connection.fail(RESTARTED)",
        "pass",
        ("tests.test_gateway_incarnations.Restarts",),
    ),
    WrongVersion(
        "servers born again",
        "a kept connection to the process before is used again",
        f"{_GATEWAY}/requests/sender.py",
        "        self.pool.drop(server.backend.address)\n        connections",
        "        connections",
        ("tests.test_gateway_incarnations.Restarts",),
    ),
    WrongVersion(
        "servers born again",
        "reports on the process before count for the next one",
        f"{_GATEWAY}/servers/peer_reports.py",
        "return not report.incarnation or report.incarnation == (backend.incarnation or 0)",
        "return True",
        ("tests.test_gateway_incarnations.Restarts",),
    ),
    WrongVersion(
        "spoilt entries",
        "the server of an entry that cannot be read stays in use",
        f"{_GATEWAY}/state/store_view.py",
        "            return self._remove(Change(key, before, None, revision, now, spoilt=True))\n",
        "            return []\n",
        ("tests.test_gateway_incarnations.SpoiltEntries",),
    ),
    WrongVersion(
        "spoilt entries",
        "an unknown state counts as ready",
        "platform/server_entries.py",
        "if state not in _STATES:",
        "if False:",
        ("tests.test_gateway_incarnations.SpoiltEntries",),
    ),
    WrongVersion(
        "cost of a fleet",
        "heartbeats carry the rows of all regions",
        f"{_GATEWAY}/membership/heartbeats.py",
        "self._next(frozenset(near))",
        "self._next(frozenset(self.store_view.members))",
        ("tests.test_gateway_heartbeats",),
    ),
    WrongVersion(
        "cost of a fleet",
        "a stop is announced with the rows of all VMs",
        f"{_GATEWAY}/membership/heartbeats.py",
        "self._send(self._next(()), ",
        "self._send(self._next(frozenset(members)), ",
        ("tests.test_gateway_heartbeats",),
    ),
    WrongVersion(
        "cost of a fleet",
        "a VM that is cut off from all others removes their registrations",
        f"{_GATEWAY}/membership/registration.py",
        "if not self._has_company(now):",
        "if False:",
        ("tests.test_gateway_registration",),
    ),
)


def make_wrong(version: WrongVersion, folder: Path) -> None:
    """Make a copy of the sources wrong in one place.

    Args:
        version: What is wrong.
        folder: The copy.

    Raises:
        StaleVersionError: When the text to replace is not there just once.
    """
    path = folder / version.path
    text = path.read_text(encoding="utf-8")
    if text.count(version.old) != 1:
        problem = f"{version.path} has {text.count(version.old)} times {version.old!r}"
        raise StaleVersionError(problem, "bring this wrong version up to date with its mechanism")
    path.write_text(text.replace(version.old, version.new), encoding="utf-8")


def is_red(version: WrongVersion) -> bool:
    """Return whether the tests of a wrong version fail on it."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for part in _COPIED:
            ignored = shutil.ignore_patterns("__pycache__")
            shutil.copytree(ROOT / part, folder / part, ignore=ignored)
        make_wrong(version, folder)
        return not _passes(version.tests, folder)


def _passes(tests: Iterable[str], folder: Path) -> bool:
    command = [sys.executable, "-P", "-m", "unittest", "-q", *tests]
    environment = {**os.environ, "PYTHONPATH": str(folder)}
    try:
        done = subprocess.run(
            command,
            cwd=folder,
            env=environment,
            capture_output=True,
            timeout=_LONGEST_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return False
    return done.returncode == 0


def main() -> int:
    """Run all wrong versions; returns the exit status, 1 when one stays green."""
    console = Console(width=120)
    table = Table("rule", "wrong version", "tests", "seen")
    green = 0
    for version in VERSIONS:
        red = is_red(version)
        green += not red
        tests = "\n".join(test.removeprefix("tests.") for test in version.tests)
        table.add_row(version.rule, version.what, tests, "red" if red else "GREEN")
    console.print(table)
    console.print(f"{len(VERSIONS) - green} red, {green} green")
    return 1 if green else 0


if __name__ == "__main__":
    sys.exit(main())
