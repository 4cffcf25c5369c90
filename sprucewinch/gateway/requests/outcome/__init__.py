"""Rules for the end of a request: how long it is held, whether it is retried, what its caller gets.

Each of the five rules has a module: `hold_time`, `time_left`, `retry_decision`, `final_answer` and
`return_times`. None does I/O; each takes its inputs as arguments. Only `return_times` holds state:
the times at which the refused callers of each server may retry. The package relies on the types in
`client_request`. `pipeline` applies the rules in this order, and `retry_budget` counts retries.
"""
