"""Callers: keys, workspaces, answers of a VM that is behind, and where a key must never appear."""

import unittest
from typing import Any, Optional

from hypothesis import given
from hypothesis import strategies as st

from sprucewinch.gateway.events import EventLog
from sprucewinch.gateway.quotas.quotas import QuotaDecision, QuotaEnd
from sprucewinch.gateway.requests.callers.request_reader import RequestReader
from sprucewinch.gateway.requests.client_request import ClientRequest, RefusalReason
from sprucewinch.gateway.resources import Workspace
from sprucewinch.gateway.workspaces.admission import WorkspaceAdmission
from sprucewinch.gateway.workspaces.allowed_regions import allowed_regions
from sprucewinch.gateway.workspaces.key_table import KeyProblem, KeyTable
from sprucewinch.gateway.workspaces.keys import key_digest
from standins.virtual import VirtualLoop, pass_time, run_virtual

from .formats_gateway import CONFIGURATION, VirtualGateway
from .gateway_fakes import BOUNDS, NAMES, PipelineFixture, StoreFixture, UnlimitedQuotas, route

KEY = "yrbbkf83fgfwrz56aw63"
SHIPPER = Workspace("shipper", (key_digest(KEY), key_digest("second")), rate_per_s=5, burst=5)
BROKER = Workspace("broker", (key_digest("third"),), regions=("west",))
KEYED = CONFIGURATION.replace(
    b'"Hosts"',
    b'"Tenants":[{"Name":"shipper","ApiKeys":["%s"],"Priority":0,"RatePerS":0,"Burst":0}],"Hosts"'
    % KEY.encode(),
    1,
)
CALLER = (("x-request-id", "q1"), ("x-request-deadline-ms", "2000"))


class KeptEvents(EventLog):
    """Keeps the events that are written."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def state(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))

    def count(self, counter: str) -> None:
        """Ignore a count."""


def configured(
    world: StoreFixture, *workspaces: Workspace, version: int = 1, **changes: object
) -> None:
    """Configure workspaces and a route."""
    world.configure(route(**changes), version=version)
    held = world.store_view.configuration
    assert held is not None
    world.put("configuration", held._replace(workspaces=workspaces, version=version + 1))


class CallerLookup(unittest.TestCase):
    def ask(
        self,
        key: Optional[str],
        *,
        age_s: float = 0.0,
        trust_s: Optional[float] = None,
        public: bool = False,
    ) -> Any:
        world = StoreFixture()
        configured(world, SHIPPER, BROKER)
        assert world.store_view.configuration is not None
        table = KeyTable(world.store_view.configuration)
        digest = None if key is None else key_digest(key)
        return table.caller(route(public=public), digest, age_s, config_s=3.0, key_trust_s=trust_s)

    def test_a_key_identifies_its_workspace(self) -> None:
        self.assertEqual(self.ask(KEY).workspace, SHIPPER)
        self.assertEqual(self.ask("second").workspace, SHIPPER)
        self.assertEqual(self.ask("third").workspace, BROKER)

    def test_missing_and_unknown_keys_are_refused_for_good(self) -> None:
        self.assertIs(self.ask(None).problem, KeyProblem.UNKNOWN)
        self.assertIs(self.ask("nobody's").problem, KeyProblem.UNKNOWN)
        self.assertIs(self.ask(None, age_s=99.0).problem, KeyProblem.UNKNOWN)

    def test_a_vm_that_is_behind_reports_it_for_an_unknown_key(self) -> None:
        self.assertIs(self.ask("just added", age_s=3.1).problem, KeyProblem.BEHIND)
        self.assertIs(self.ask("just added", age_s=2.9).problem, KeyProblem.UNKNOWN)

    def test_a_vm_that_is_behind_goes_on_accepting_known_keys(self) -> None:
        self.assertEqual(self.ask(KEY, age_s=3600.0).workspace, SHIPPER)

    def test_operators_limit_how_long_known_keys_are_accepted(self) -> None:
        self.assertEqual(self.ask(KEY, age_s=4.9, trust_s=5.0).workspace, SHIPPER)
        self.assertIs(self.ask(KEY, age_s=5.1, trust_s=5.0).problem, KeyProblem.BEHIND)

    def test_a_public_route_needs_none(self) -> None:
        found = self.ask(None, public=True)
        self.assertEqual((found.workspace, found.problem), (None, None))

    def test_without_workspaces_no_key_is_needed(self) -> None:
        world = StoreFixture()
        world.configure(route())
        assert world.store_view.configuration is not None
        table = KeyTable(world.store_view.configuration)
        found = table.caller(route(), None, 0.0, config_s=3.0, key_trust_s=None)
        self.assertIsNone(found.problem)

    def test_digests_tell_keys_apart_and_hold_none(self) -> None:
        self.assertNotEqual(key_digest(KEY), key_digest(KEY + "x"))
        self.assertNotIn(KEY.encode(), key_digest(KEY))

    def test_guesses_are_logged_seldom(self) -> None:
        async def main(loop: VirtualLoop) -> list:
            world, events = StoreFixture(), KeptEvents()
            admission = WorkspaceAdmission(
                world.store_view, UnlimitedQuotas(), BOUNDS, loop.time, events
            )
            configured(world, SHIPPER)
            for _ in range(5000):
                admission.caller(route(), key_digest("guess"))
                await pass_time(0.0002)
            return events.lines

        lines = run_virtual(main)
        self.assertEqual(lines, [("unknown-keys", {"requests": 1})])


class Regions(unittest.TestCase):
    def test_the_regions_of_route_and_workspace_both_apply(self) -> None:
        both = route(regions=("east", "west"))
        self.assertEqual(allowed_regions(route(), None), ())
        self.assertEqual(allowed_regions(both, None), ("east", "west"))
        self.assertEqual(allowed_regions(route(), BROKER), ("west",))
        self.assertEqual(allowed_regions(both, BROKER), ("west",))
        self.assertIsNone(allowed_regions(route(regions=("east",)), BROKER))
        self.assertEqual(allowed_regions(both, SHIPPER), ("east", "west"))

    @given(st.sets(st.sampled_from("abcd")), st.sets(st.sampled_from("abcd")))
    def test_the_result_equals_the_intersection_of_sets(
        self, of_route: set[str], of_workspace: set[str]
    ) -> None:
        everywhere = set("abcd")
        expected = (of_route or everywhere) & (of_workspace or everywhere)
        found = allowed_regions(
            route(regions=tuple(of_route)), SHIPPER._replace(regions=tuple(of_workspace))
        )
        meant = set() if found is None else set(found) or everywhere
        self.assertEqual(meant, expected)


class Requests(unittest.TestCase):
    """Admission as a step of the pipeline."""

    async def admitted(self, path: PipelineFixture, key: Optional[str], **changes: object) -> Any:
        digest = None if key is None else key_digest(key)
        request = path.request("q1", api_key=digest, **changes)
        return request, await path.pipeline.admit(request)

    def test_the_workspace_is_passed_on_and_its_regions_apply(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=4, halls=("east-a", "west-a"))
            configured(path.world, SHIPPER, BROKER)
            request, refusal = await self.admitted(path, "third")
            self.assertIsNone(refusal)
            self.assertIn((NAMES.workspace, "broker"), request.headers)
            reply = await path.pipeline.run(request)
            self.assertEqual(reply.status, 200)
            ran = [name for name, server in path.servers.items() if server.runs]
            self.assertIn(ran[0], ("s1", "s3"), "the servers of the west")

        run_virtual(main)

    def test_no_region_left_is_refused_at_once(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=2)
            began = loop.time()
            configured(path.world, BROKER, regions=("east",))
            request, refusal = await self.admitted(path, "third")
            self.assertIsNone(refusal)
            reply = await path.pipeline.run(request)
            self.assertEqual((reply.status, reply.refusal), (503, RefusalReason.NO_REGION))
            self.assertEqual(loop.time(), began)
            path.pipeline.return_unused_quota(request)
            self.assertEqual(path.quotas.given_back, ["broker"])

        run_virtual(main)

    def test_a_workspace_that_is_removed_meanwhile(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=2)
            configured(path.world, SHIPPER, BROKER)
            request, refusal = await self.admitted(path, "third")
            configured(path.world, SHIPPER, version=5)
            reply = await path.pipeline.run(request)
            self.assertEqual((reply.status, reply.refusal), (401, RefusalReason.UNKNOWN_KEY))

        run_virtual(main)

    def test_over_quota_is_429_with_retry_after(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=2)
            configured(path.world, SHIPPER)
            path.quotas.decision = QuotaDecision(QuotaEnd.OVER, 0.4)
            _, refusal = await self.admitted(path, KEY)
            self.assertEqual((refusal.status, refusal.retry_after_s), (429, 0.4))
            path.quotas.decision = QuotaDecision(QuotaEnd.UNKNOWN, 0.5)
            _, refusal = await self.admitted(path, KEY)
            self.assertEqual((refusal.status, refusal.retry_after_s), (503, 0.5))

        run_virtual(main)

    def test_a_request_that_did_not_run_is_given_back(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=2)
            configured(path.world, SHIPPER)
            request, _ = await self.admitted(path, KEY)
            for server in path.servers.values():
                server.slots = 0
            reply = await path.pipeline.run(request)
            self.assertEqual(reply.status, 503)
            path.pipeline.return_unused_quota(request)
            self.assertEqual(path.quotas.given_back, ["shipper"])
            for server in path.servers.values():
                server.slots = 9
            await pass_time(1.0)
            request, _ = await self.admitted(path, KEY)
            self.assertEqual((await path.pipeline.run(request)).status, 200)
            path.pipeline.return_unused_quota(request)
            self.assertEqual(path.quotas.given_back, ["shipper"])

        run_virtual(main)

    def test_a_retry_takes_nothing_more(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            path = PipelineFixture(loop, servers=2)
            configured(path.world, SHIPPER)
            path.first().slots = 0
            request, _ = await self.admitted(path, KEY)
            self.assertEqual((await path.pipeline.run(request)).status, 200)
            self.assertEqual(len(request.attempts), 2)
            self.assertEqual(path.quotas.taken, ["shipper"])

        run_virtual(main)


class WholeVm(unittest.TestCase):
    """What callers and servers see, and where no key may appear."""

    def test_keys_appear_in_no_header_log_or_state(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = VirtualGateway(loop, servers=1)
            vm.store.put("op/config", KEYED)
            vm.start()
            await pass_time(3.0)
            forged = (*CALLER, ("x-tenant-name", "forged"))
            answer = await vm.ask(headers=forged)
            self.assertEqual((answer.status, answer.body), (401, b'{"reason":"unknown-key"}'))
            answer = await vm.ask(headers=(*forged, ("api-key", "wrong")))
            self.assertEqual(answer.status, 401)
            answer = await vm.ask(headers=(*forged, ("api-key", KEY)))
            self.assertEqual(answer.status, 200)
            headers = vm.servers[0].runs[0].headers
            self.assertEqual(headers["x-tenant-name"], "shipper")
            self.assertNotIn("api-key", headers)
            self.assertNotIn(KEY, str(headers))
            shown = "\n".join((*vm.lines, vm.metrics(), vm.state()))
            self.assertNotIn(KEY, shown)
            self.assertNotIn(KEY, repr(vm.gateway.state.view.configuration))
            self.assertIn('"workspace":"shipper"', shown)
            self.assertIn('"event":"unknown-keys"', shown)

        run_virtual(main)

    def test_refusals_do_not_wait_for_the_body(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = VirtualGateway(loop, servers=1)
            vm.store.put("op/config", KEYED)
            vm.start()
            await pass_time(3.0)
            answer = await vm.ask("/book/1", method="POST", headers=CALLER, stalls=True)
            self.assertEqual(answer.status, 401)
            self.assertNotIn("connection", answer.headers)

        run_virtual(main)

    def test_a_caller_that_leaves_while_its_quota_is_asked_for(self) -> None:
        class SlowQuotas(UnlimitedQuotas):
            async def take(self, workspace: Workspace) -> QuotaDecision:
                await pass_time(0.1)
                return await super().take(workspace)

        async def main(loop: VirtualLoop) -> None:
            vm = VirtualGateway(loop, servers=1)
            quotas = vm.gateway.requests.pipeline.admission.quotas = SlowQuotas()
            vm.store.put("op/config", KEYED)
            vm.start()
            await pass_time(3.0)
            caller = (*CALLER, ("api-key", KEY))
            for method, path in (("GET", "/rates/a"), ("POST", "/book/1")):
                leaves = loop.create_task(pass_time(0.05))
                answer = await vm.ask(path, method=method, headers=caller, leaves=leaves)
                self.assertEqual(answer.status, 0)
            await pass_time(1.0)
            self.assertEqual(vm.servers[0].runs, [])
            self.assertEqual(quotas.given_back, ["shipper", "shipper"])

        run_virtual(main)

    def test_a_caller_that_leaves_in_the_middle_of_its_body(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = VirtualGateway(loop, servers=1)
            quotas = vm.gateway.requests.pipeline.admission.quotas = UnlimitedQuotas()
            vm.store.put("op/config", KEYED)
            vm.start()
            await pass_time(3.0)
            caller = (*CALLER, ("api-key", KEY))
            await vm.ask(
                "/book/1", method="POST", headers=caller, stalls=True, leaves=pass_time(0.05)
            )
            self.assertEqual((quotas.taken, quotas.given_back), (["shipper"], ["shipper"]))
            self.assertEqual(vm.servers[0].runs, [])

        run_virtual(main)

    def test_an_unusable_configuration_reveals_no_key(self) -> None:
        async def main(loop: VirtualLoop) -> None:
            vm = VirtualGateway(loop, servers=1)
            vm.store.put("op/config", KEYED)
            vm.start()
            await pass_time(3.0)
            for broken in (
                KEYED.replace(b'["%s"]' % KEY.encode(), b'"%s"' % KEY.encode()),
                KEYED.replace(b'"RatePerS":0', b'"RatePerS":-1'),
                KEYED.replace(
                    b'"Tenants":[', b'"Tenants":[{"Name":"b","ApiKeys":["%s"]},' % KEY.encode()
                ),
                KEYED.replace(b'"Tenants":[', b'"Tenants":["%s",' % KEY.encode()),
                KEYED.replace(b'"Tenants":[', b'"Tenants":{"%s":[' % KEY.encode()),
            ):
                vm.store.put("op/config", broken.replace(b'"r7"', b'"r9"'))
                await pass_time(3.0)
                row = vm.rows("unreadable")[-1]
                self.assertNotIn(KEY, str(row))
                answer = await vm.ask(headers=(*CALLER, ("api-key", KEY)))
                self.assertEqual(answer.status, 200, "the version before stays in force")
            self.assertEqual(len(vm.rows("unreadable")), 5)

        run_virtual(main)


class ReadingKeys(unittest.TestCase):
    def test_neither_name_nor_key_is_passed_on(self) -> None:
        scope = {
            "method": "GET",
            "raw_path": b"/rates/a",
            "headers": [
                (b"host", b"quotes.example"),
                (b"api-key", KEY.encode()),
                (b"x-tenant-name", b"forged"),
                (b"x-a", b"1"),
            ],
        }
        request: ClientRequest = RequestReader(NAMES).read(scope, b"", 0.0).request
        self.assertEqual(request.headers, (("x-a", "1"),))
        self.assertEqual(request.api_key, key_digest(KEY))
        self.assertNotIn(KEY, repr(request))

    def test_a_request_with_two_keys_has_none(self) -> None:
        for second in (KEY, "another"):
            keys = [(b"api-key", KEY.encode()), (b"API-Key".lower(), second.encode())]
            scope = {"method": "GET", "raw_path": b"/rates/a", "headers": keys}
            request = RequestReader(NAMES).read(scope, b"", 0.0).request
            self.assertIsNone(request.api_key)
            self.assertEqual(request.headers, ())
