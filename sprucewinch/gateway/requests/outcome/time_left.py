"""Rule: whether a request has time left for an answer.

Question: can any server still answer this request in its time? Inputs: until when it is held, now,
and the least time in which the service answers of late (`servers.capacity.service_times`); all in
seconds. Rule: it is not sent, and not sent again, when less than that least time is left.

Why so: such a request takes a slot from others, and its caller gets nothing for it but a later
failure. One that was never sent gets its refusal at once, with the promise that it has not run. The
least time, not the usual one: most requests with a little less than the usual time still succeed.

Constants: none here; those of the least time are in `servers.capacity.service_times`. Shows in:
event `request`, `outcome` `no-time` of one that cannot have run, else `timeout`. Tests:
tests/test_gateway_request_rules.py (`TimeLeft`), tests/test_gateway_service_times.py.
"""


def has_time(until: float, now: float, least_s: float) -> bool:
    """Return whether a request may still be answered in its time.

    Args:
        until: Monotonic time until which it is held, in seconds.
        now: Monotonic time, in seconds.
        least_s: Least time of an answer of its service, in seconds; 0 when not known.
    """
    return now < until and until - now >= least_s
