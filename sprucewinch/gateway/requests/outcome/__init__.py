"""How a request ends: whether it is sent again, how long it is held, what its caller gets.

Owns five rules, one a module: `hold_time`, `time_left`, `retry_decision`, `final_answer`,
`return_times`. Each does no I/O and takes what it needs as arguments; `return_times` alone holds
state, when each server's refused callers return. Relies on the request's types; `pipeline` asks the
rules in that order, `retry_budget` beside it counts retries.
"""
