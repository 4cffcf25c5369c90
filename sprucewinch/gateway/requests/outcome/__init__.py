"""How a request ends: whether it is sent again, how long it is held, what its caller gets.

Owns three rules, one a module: `hold_time`, `retry_decision`, `final_answer`. Each does no I/O
and takes what it needs as arguments. Relies on the request's types; `pipeline` asks the
rules in that order, `retry_budget` beside it counts retries.
"""
