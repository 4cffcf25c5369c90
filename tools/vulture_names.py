"""Names that vulture takes for unused, with who uses them; read by `tools/unused.py`.

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

# uvicorn enters it around a server, and reads the other.
(_.capture_signals, _.should_exit)

# aiohttp reads them: whether it sends a request again, what makes a connection, an answer's length.
(_._retry_connection, _._factory, _.content_length)

# asyncio calls them on protocols and transports.
(_.error_received, _.pause_reading, _.resume_reading)

# logging writes through them; rich prints it below a table.
(_.handlers, _.caption)

# Columns of the model of quotas, shown as a whole.
(_.refused_after, _.p50_ms, _.p99_ms, _.kb_per_s, _.messages_per_s, _.most_messages_per_s)

# Fields of `/state`, read as a whole by `_asdict`.
(_.paused, _.store_revision, _.store_age_s, _.limit_since_s, _.limit_age_s, _.no_token_s,
 _.leaving_s, _.rests_s)

# msgspec fills it, so that a configuration with this field is read by its outline.
_.base_version

# unittest calls it.
_.asyncSetUp

# httptools calls them on what parses answers.
(_.on_chunk_header, _.on_chunk_complete)

# Keeps a task alive: asyncio holds tasks by weak references.
(_.relaying, _.sharing, _.upkeep)
