"""Names that vulture takes for unused, with who uses them; stands last among its arguments.

Owns no behaviour: nothing imports it. vulture takes `_.name` for a use of everything that has this
name, so a name goes from here with the code that it stands for.
"""

# ruff: noqa: B018 - each expression is a use that vulture reads and nothing runs

from unittest.mock import Mock

_ = Mock()

# One name a line would make it three pages.
# fmt: off

# fire runs them as commands of `sprucewinch`.
(_.validate, _.show, _.retire)

# RestrictedPython calls `visit_` and the name of a syntax node.
(_.visit_BitAnd, _.visit_BitOr, _.visit_BitXor, _.visit_FormattedValue, _.visit_Invert,
 _.visit_JoinedStr, _.visit_LShift, _.visit_MatMult, _.visit_NamedExpr, _.visit_Pow,
 _.visit_RShift, _.visit_TryStar)

# uvicorn enters it around a server, and reads the other two.
(_.capture_signals, _.should_exit, _.timeout_keep_alive_task)

# aiohttp reads them: whether it sends a request again by itself, the length of an answer.
(_._retry_connection, _.content_length)

# asyncio calls them on protocols and transports.
(_.error_received, _.pause_reading, _.resume_reading)

# logging writes through them; rich prints it below a table.
(_.handlers, _.caption)

# Fields of `/state` and of a request's line, read as a whole by `_asdict`.
(_.paused, _.store_revision, _.store_age_s, _.told_s)

# unittest calls it.
_.asyncSetUp

# Keeps a task alive: asyncio holds tasks by weak references.
_.relaying

# Hypothesis calls the rules and invariants of state machines.
(_.a_link_is_cut_or_mended, _.a_vm_is_killed, _.a_vm_is_replaced, _.all_meet, _.arrive_and_wait,
 _.half_a_value_arrives, _.no_server_runs_more_than_its_slots, _.one_learns_a_plan,
 _.one_sleeps_and_wakes, _.refused_at_the_door, _.two_exchange)

# unittest finds test cases by itself.
(_.AnswersThatAreComplete, _.AnyOrder, _.BadConfigurations, _.BadPrograms, _.Board, _.Budget,
 _.Calm, _.Cases, _.ColdLimit, _.ColdServers, _.ComingBack, _.CommandLine, _.CrowdedParts,
 _.CrowdedServers, _.DaemonSettings, _.Days, _.Ends, _.Entries, _.Examples, _.FailingServers,
 _.Faults, _.Files, _.Filters, _.Forever, _.InForce, _.Items, _.Kept, _.Lapses, _.Listeners,
 _.LongestPrefix, _.Measures, _.MembershipCases, _.MovedPart, _.Neighbours, _.NoDecisionOverloads,
 _.NotRunIsTrue, _.Operators, _.Outages, _.Overload, _.OwnFailures, _.OwnPauses, _.Pages,
 _.Placing, _.PlannerCases, _.PlatformBehindRelay, _.Policies, _.PoliciesThatMeasure,
 _.Priorities, _.PromisesAreJudged, _.QueuesThatFit, _.Registered, _.RelayCase, _.Repeats,
 _.ResetAnswers, _.ShelfCases, _.ShiftLimiterCases, _.ShippedPolicies, _.ShortRegions,
 _.SilentServers, _.SlotCases, _.SplitShares, _.SpoiltAnswers, _.Stories, _.TakenBack,
 _.TestFleetShift, _.TestHallSlots, _.TestOneRun, _.TestRequests, _.TestSpreading,
 _.TicketBookCases, _.Turns, _.Unreachable, _.Volume, _.WhatIsCold, _.Writing,
 _.WrongVersionIsFound, _.WrongVersions, _.WrongVersionsAreFound)
