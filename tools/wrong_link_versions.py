"""Lost links to backend servers handled wrong in one place each, with tests that fail then.

Owns these rows of the list; `wrong_versions` runs them beside those of `wrong_version_list`.
"""

from .wrong_version_list import WrongVersion

_LINKS = "sprucewinch/gateway/servers/links"
_RELAY = "sprucewinch/gateway/requests/relay"
_LINK_TESTS = ("tests.test_gateway_server_links",)
_RELAY_TESTS = ("tests.test_gateway_relay",)

LINK_VERSIONS = (
    WrongVersion(
        "LINKS",
        "the loss of all links is not noticed",
        f"{_LINKS}/server_links.py",
        "self._change(False, result)",
        "pass",
        _LINK_TESTS,
    ),
    WrongVersion(
        "LINKS",
        "lost links stay lost",
        f"{_LINKS}/server_links.py",
        "self._change(True, result)",
        "pass",
        _LINK_TESTS,
    ),
    WrongVersion(
        "LINKS",
        "servers that failed behind lost links go on resting",
        f"{_LINKS}/server_links.py",
        "server.backoff.forget_failures()",
        "pass",
        _LINK_TESTS,
    ),
    WrongVersion(
        "LINKS",
        "silence alone starts no check",
        f"{_LINKS}/server_links.py",
        "elif self._is_silent():",
        "elif False:",
        _LINK_TESTS,
    ),
    WrongVersion(
        "LINKS",
        "an answer on an open connection ends the suspicion of all servers",
        f"{_LINKS}/link_evidence.py",
        "self.failed.discard(address)",
        "self.failed.clear()",
        _LINK_TESTS,
    ),
    WrongVersion(
        "LINKS",
        "failures behind lost links are reported to other VMs",
        f"{_LINKS}/held_failures.py",
        "if self.links.lost_since(held.since):",
        "if False:",
        _LINK_TESTS,
    ),
    WrongVersion(
        "LINKS",
        "servers that refuse a VM without links count as crashed",
        "sprucewinch/gateway/requests/sender.py",
        "ended = ended and await self.links.confirmed(started + attempt.seconds)",
        "ended = bool(ended)",
        _LINK_TESTS,
    ),
    WrongVersion(
        "LINKS",
        "an answer on an open connection proves that a refusal is a crash",
        f"{_LINKS}/server_links.py",
        "if self.up and self._connected_at <= since:",
        "if self.up and self._contact_at <= since:",
        _LINK_TESTS,
    ),
    WrongVersion(
        "LINKS",
        "look-ups name VMs without links",
        "sprucewinch/gateway/membership/directory.py",
        "return linked if len(linked) >= _MIN_LINKED_FRACTION * len(members) else members",
        "return members or linked",
        _LINK_TESTS,
    ),
    WrongVersion(
        "RELAY",
        "a request that was passed on is passed on again",
        f"{_RELAY}/relay.py",
        "if request.relayed_by or (await self.links.settled() and not self._is_behind()):",
        "if await self.links.settled() and not self._is_behind():",
        _RELAY_TESTS,
    ),
    WrongVersion(
        "RELAY",
        "a VM goes back to an older configuration with its links",
        f"{_RELAY}/relay.py",
        "return self._own_version() < self._seen_version",
        "return False",
        _RELAY_TESTS,
    ),
    WrongVersion(
        "RELAY",
        "a request that must not run twice is passed on again without an answer",
        f"{_RELAY}/relay.py",
        "return not runs or (route.repeatable and runs < route.max_attempts)",
        "return runs < 2",
        _RELAY_TESTS,
    ),
    WrongVersion(
        "RELAY",
        "a VM with an older configuration takes requests",
        f"{_RELAY}/relay_app.py",
        "if self.app.configuration_version < relayed.version:",
        "if False:",
        _RELAY_TESTS,
    ),
    WrongVersion(
        "RELAY",
        "a VM without links takes requests",
        f"{_RELAY}/relay_app.py",
        "return await self.links.settled()",
        "return True",
        _RELAY_TESTS,
    ),
    WrongVersion(
        "RELAY",
        "any answer without an outcome proves that nothing ran",
        f"{_RELAY}/relay_message.py",
        "return RelayOutcome.NOT_TAKEN if answer.status in _NOT_READ else RelayOutcome.UNKNOWN",
        "return RelayOutcome.NOT_TAKEN",
        _RELAY_TESTS,
    ),
    WrongVersion(
        "RELAY",
        "requests go to VMs in regions that may not run them",
        f"{_RELAY}/relay_peers.py",
        "and (not regions or member.region in regions)",
        "and (not regions or member.region)",
        _RELAY_TESTS,
    ),
    WrongVersion(
        "RELAY",
        "headers between VMs reach backend servers and callers",
        "sprucewinch/net/request.py",
        "and not name.lower().startswith(_OWN_PREFIX)",
        "and name",
        _RELAY_TESTS,
    ),
    WrongVersion(
        "RELAY",
        "a server that only another VM reaches is no last resort",
        "sprucewinch/gateway/requests/pipeline.py",
        "if refusal is RefusalReason.NO_SERVER and request.unreachable_attempts():",
        "if False:",
        _RELAY_TESTS,
    ),
)
