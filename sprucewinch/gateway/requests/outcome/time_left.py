"""Decides whether a request has enough time left for an answer.

A request is not sent, and not retried, when the time left until the end of its hold time is shorter
than the shortest recent latency of its service (`servers.capacity.service_times`, which also holds
the constants). All inputs are in seconds: the end of the hold time, the current time, and that
latency.

Such a request would take a slot from others, and its caller would only get a failure later. A
request that was never sent is refused at once, with the promise that it has not run. The limit is
the shortest latency and not the usual one, as most requests with slightly less than the usual
latency left still succeed.

The refusal is logged in the event `request` with the `outcome` `no-time` when the request cannot
have run, otherwise `timeout`. The tests are in tests/test_gateway_request_rules.py (`TimeLeft`) and
tests/test_gateway_service_times.py.
"""


def has_time(until: float, now: float, shortest_latency_s: float) -> bool:
    """Return whether a request may still be answered before its hold time ends.

    Args:
        until: Monotonic time until which it is held, in seconds.
        now: Monotonic time, in seconds.
        shortest_latency_s: Shortest recent latency of its service, in seconds; 0 when not known.
    """
    return now < until and until - now >= shortest_latency_s
