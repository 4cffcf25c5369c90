"""The store's return from an older copy handled wrong in one place each, with tests that fail then.

Owns these rows of the list; `wrong_versions` runs them beside those of `wrong_version_list`.
"""

from .wrong_version_list import WrongVersion

_STATE = "sprucewinch/gateway/state"
_CLIENT = "platform/kv_store.py"
_TESTS = ("tests.test_gateway_older_copy",)
_ORDER_TESTS = ("tests.test_gateway_revisions",)

ERA_VERSIONS = (
    WrongVersion(
        "ERA",
        "a revision is an order over all eras",
        f"{_STATE}/revisions.py",
        "return era * _ERA_SPAN + number",
        "return number",
        _TESTS,
    ),
    WrongVersion(
        "ERA",
        "a watch goes on from a revision of an earlier era",
        _CLIENT,
        "if era_of(after) < era:",
        "if False:",
        _TESTS,
    ),
    WrongVersion(
        "ERA",
        "a watch on a new connection waits before it knows the era",
        _CLIENT,
        "if self._is_reconnected(_READ_LANE):",
        "if False:",
        _TESTS,
    ),
    WrongVersion(
        "ERA",
        "conditions of an earlier era are sent",
        _CLIENT,
        "return not item.revision or era_of(item.revision) == self.era",
        "return True",
        _TESTS,
    ),
    WrongVersion(
        "ERA",
        "answers of an earlier era count",
        _CLIENT,
        "if int(stated) < self.era:",
        "if False:",
        _TESTS,
    ),
    WrongVersion(
        "ERA",
        "an entry of the copy replaces a newer one",
        f"{_STATE}/store_view.py",
        "if self.entry_order.is_outdated(entry, revision):",
        "if False:",
        _TESTS,
    ),
    WrongVersion(
        "ERA",
        "entries are ordered by their numbers within an era too",
        f"{_STATE}/entry_order.py",
        "if era_of(revision) <= known.era:",
        "if False:",
        _ORDER_TESTS,
    ),
    WrongVersion(
        "ERA",
        "a server that was gone comes back with the copy",
        f"{_STATE}/entry_order.py",
        "return entry.sequence < known.sequence + removed",
        "return entry.sequence < known.sequence",
        _ORDER_TESTS,
    ),
    WrongVersion(
        "ERA",
        "other VMs learn of an era with the first change in it",
        f"{_STATE}/store_view.py",
        "self.revision = max(self.revision, delta.complete_revision)",
        "pass",
        _TESTS,
    ),
    WrongVersion(
        "ERA",
        "an evacuation ends as the copy lacks it",
        f"{_STATE}/store_view.py",
        "if isinstance(before, (Evacuation, Member)) and change.lost:",
        "if isinstance(before, Member) and change.lost:",
        _TESTS,
    ),
    WrongVersion(
        "ERA",
        "whatever the copy lacks counts as lost, however old",
        f"{_STATE}/store_view.py",
        "lost = key in self.replica.lost and held_s < _MAX_COPY_AGE_S",
        "lost = key in self.replica.lost",
        _TESTS,
    ),
    WrongVersion(
        "ERA",
        "a server that the copy lacks is dropped at once",
        "sprucewinch/gateway/servers/lapsed_entries.py",
        "if backend.draining or not (lost or self.may_lapse(now)):",
        "if backend.draining or not self.may_lapse(now):",
        _TESTS,
    ),
    WrongVersion(
        "ERA",
        "a request that crashes servers is released by the copy",
        "sprucewinch/gateway/crashes/quarantine.py",
        "elif isinstance(change.before, QuarantinedRequest) and change.lost:",
        "elif isinstance(change.before, QuarantinedRequest) and change.lost is None:",
        _TESTS,
    ),
    WrongVersion(
        "ERA",
        "a VM whose registration is lost does not write it",
        "sprucewinch/gateway/membership/registration.py",
        "if lost or self.store_view.members.get(self.own.name) != self.own:",
        "if self.store_view.members.get(self.own.name) != self.own:",
        _TESTS,
    ),
    WrongVersion(
        "ERA",
        "an item that comes late brings a removed key back",
        f"{_STATE}/replica.py",
        "if held is None and item.revision <= self.complete_revision:",
        "if False:",
        _TESTS,
    ),
)
