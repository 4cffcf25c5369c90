import unittest
from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sprucewinch.hall.requests.tickets import Answer, Claim, TicketTable, parse_ticket
from sprucewinch.net.outcome import Outcome, Reason, Refusal

KEY = b"k" * 32
SETTINGS = settings(max_examples=100, stateful_step_count=40, deadline=None)


def table(vm: str = "a", incarnation: int = 1, **options: float) -> TicketTable:
    return TicketTable(vm, incarnation, KEY, lifetime_s=10, retention_s=20, **options)


class OneRun(RuleBasedStateMachine):
    """Two VMs restart at any time while operations arrive at them repeatedly.

    The test counts the runs of each operation, as the backend server would, and records which
    operations were refused as not run. It guards against a second run of an operation, and
    against the run of one that was refused so. A VM may run an operation long after claiming it.
    """

    table_class = TicketTable
    new_incarnation_on_restart = True

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.incarnations = Counter({"a": 1, "b": 1})
        self.tables = {vm: self.make(vm) for vm in "ab"}
        self.tickets: list[str] = []
        self.pending: list[tuple[TicketTable, Claim, str]] = []
        self.runs: Counter[str] = Counter()
        self.reported_not_run: set[str] = set()

    def make(self, vm: str) -> TicketTable:
        number = self.incarnations[vm] if self.new_incarnation_on_restart else 1
        return self.table_class(vm, number, KEY, lifetime_s=10, retention_s=20, max_answer_bytes=64)

    @rule(vm=st.sampled_from("ab"))
    def issue(self, vm: str) -> None:
        issued = self.tables[vm].issue("booking", 2, self.now)
        assert not isinstance(issued, Refusal)
        self.tickets += issued

    @precondition(lambda self: self.tickets)
    @rule(index=st.integers(0, 2))
    def arrive(self, index: int) -> None:
        """A request reaches the home, from its caller or forwarded by the other VM."""
        text = self.tickets[-1 - index % len(self.tickets)]
        ticket = parse_ticket(text)
        assert ticket is not None
        home = self.tables[ticket.vm]
        if not home.is_home(ticket):
            return  # The home is gone, so the outcome is unknown.
        result = home.claim(ticket, "booking", "same", self.now)
        if isinstance(result, Claim):
            self.pending.append((home, result, text))
        elif isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN:
            self.reported_not_run.add(text)

    @precondition(lambda self: self.tickets)
    @rule(index=st.integers(0, 2))
    def refused_before_claim(self, index: int) -> None:
        """An overloaded home refuses a request before it claims the ticket."""
        text = self.tickets[-1 - index % len(self.tickets)]
        ticket = parse_ticket(text)
        assert ticket is not None
        home = self.tables[ticket.vm]
        if home.is_home(ticket) and home.close(ticket, self.now):
            self.reported_not_run.add(text)

    @precondition(lambda self: self.pending)
    @rule(index=st.integers(0, 2), result=st.sampled_from(["runs", "lost", "refused"]))
    def settle(self, index: int, result: str) -> None:
        home, claim, text = self.pending.pop(index % len(self.pending))
        if result == "refused":
            home.settle(claim, Outcome.NOT_RUN)
            self.reported_not_run.add(text)
            return
        self.runs[text] += 1
        if result == "lost":
            home.settle(claim, Outcome.UNKNOWN)
        else:
            home.settle(claim, Outcome.ANSWERED, Answer(200, (), text.encode()))

    @rule(vm=st.sampled_from("ab"))
    def restart(self, vm: str) -> None:
        """The old process is only suspended: it may still run the operations that it claimed."""
        self.incarnations[vm] += 1
        self.tables[vm] = self.make(vm)

    @rule(seconds=st.floats(0.1, 40))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def at_most_one_run(self) -> None:
        assert all(count == 1 for count in self.runs.values()), self.runs

    @invariant()
    def not_run_is_true(self) -> None:
        assert not self.reported_not_run & self.runs.keys()


OneRun.TestCase.settings = SETTINGS
TestOneRun = OneRun.TestCase


class TableDroppingRefusals(TicketTable):
    """A wrong version that drops the claims it refused, so that a repeat may run."""

    def settle(self, claim: Claim, outcome: Outcome, answer: Answer | None = None) -> None:
        if outcome is Outcome.NOT_RUN:
            self.claims.pop(claim.number, None)
        else:
            super().settle(claim, outcome, answer)


class WrongVersionsAreFound(unittest.TestCase):
    def machine(self, **changes: object) -> OneRun:
        machine = type("Wrong", (OneRun,), changes)()
        machine.issue("a")
        machine.arrive(0)
        return machine

    def test_table_that_drops_refusals(self) -> None:
        machine = self.machine(table_class=TableDroppingRefusals)
        machine.settle(0, "refused")
        machine.arrive(0)
        machine.settle(0, "runs")
        with self.assertRaises(AssertionError):
            machine.not_run_is_true()

    def test_without_incarnations(self) -> None:
        machine = self.machine(new_incarnation_on_restart=False)
        machine.restart("a")
        machine.issue("a")
        machine.arrive(0)
        machine.settle(0, "runs")
        machine.settle(0, "runs")
        with self.assertRaises(AssertionError):
            machine.at_most_one_run()

    def test_same_steps_hold_with_the_real_table(self) -> None:
        machine = self.machine()
        machine.settle(0, "refused")
        machine.arrive(0)
        self.assertEqual(machine.pending, [])
        machine.restart("a")
        machine.arrive(0)
        self.assertEqual(machine.pending, [])


class TicketTableCases(unittest.TestCase):
    def claim(self, tickets: TicketTable, text: str, now: float = 0.0, fingerprint: str = "same"):
        return tickets.claim(parse_ticket(text), "booking", fingerprint, now)

    def test_repeat_gets_the_same_answer(self) -> None:
        tickets = table()
        [text] = tickets.issue("booking", 1, 0.0)
        answer = Answer(200, (("a", "b"),), b"done")
        tickets.settle(self.claim(tickets, text), Outcome.ANSWERED, answer)
        self.assertEqual(self.claim(tickets, text), answer)

    def test_repeat_while_running_is_unknown(self) -> None:
        tickets = table()
        [text] = tickets.issue("booking", 1, 0.0)
        self.claim(tickets, text)
        self.assertEqual(self.claim(tickets, text).reason, Reason.ALREADY_RUNNING)

    def test_another_request_under_the_same_ticket_gets_no_answer(self) -> None:
        tickets = table()
        [text] = tickets.issue("booking", 1, 0.0)
        tickets.settle(self.claim(tickets, text), Outcome.ANSWERED, Answer(200, (), b"mine"))
        refusal = self.claim(tickets, text, fingerprint="other")
        self.assertEqual(refusal, Refusal(Outcome.UNKNOWN, Reason.TICKET_REUSED))

    def test_forged_and_misdirected_tickets(self) -> None:
        tickets = table()
        [text] = tickets.issue("booking", 1, 0.0)
        for forged in (text[:-1] + "x", text.replace(":0:", ":1:"), text.replace("booking", "x")):
            with self.subTest(forged):
                self.assertEqual(self.claim(tickets, forged).reason, Reason.TICKET_INVALID)
        for junk in ("", "a", "a:b:c:d", "a:1:zz:booking:00", "a:1:0:booking:00:1"):
            self.assertIsNone(parse_ticket(junk))

    def test_expired_ticket_never_runs(self) -> None:
        tickets = table()
        [text] = tickets.issue("booking", 1, 0.0)
        first = self.claim(tickets, text, 11.0)
        self.assertEqual(first, Refusal(Outcome.NOT_RUN, Reason.TICKET_EXPIRED))
        later = self.claim(tickets, text, 31.0)
        self.assertEqual(later, Refusal(Outcome.UNKNOWN, Reason.TICKET_EXPIRED))

    def test_full_table_refuses_to_issue(self) -> None:
        tickets = table(max_tickets=3)
        self.assertEqual(len(tickets.issue("booking", 3, 0.0)), 3)
        refusal = tickets.issue("booking", 1, 1.0)
        self.assertEqual(refusal.reason, Reason.TICKET_TABLE_FULL)
        self.assertEqual(refusal.retry_after_ms, 29_000)
        self.assertEqual(len(tickets.issue("booking", 1, 30.0)), 1)

    def test_kept_answers_are_bounded(self) -> None:
        tickets = table(max_answer_bytes=10)
        texts = tickets.issue("booking", 3, 0.0)
        for text in texts:
            tickets.settle(self.claim(tickets, text), Outcome.ANSWERED, Answer(200, (), b"12345"))
        self.assertEqual(self.claim(tickets, texts[0]).reason, Reason.ALREADY_RAN)
        self.assertIsInstance(self.claim(tickets, texts[2]), Answer)
