"""States how many requests a second one entry VM can pass on, from its settings.

A request needs processor time and moves bytes over the VM's link, once from the server and once to
the caller. The capacity is what the scarcer of the two allows. It is only compared with that of
other VMs (`caller_spread`), so the two constants need to be right in relation to each other and not
to a day's load.

The inputs are the VM's cores and the bandwidth of its link in Mbit/s, both from the settings; 0
means unknown, and a VM that knows neither states 0. The value is sent with its heartbeats. It shows
in the metric `capacity_requests_per_s`. Tests: tests/test_gateway_caller_spread.py.
"""

CORE_S_PER_REQUEST = 0.002
"""Processor time of one request, in seconds of one core (docs/CAPACITY.md)."""

LINK_MBIT_PER_REQUEST = 0.1
"""Data that one request moves over the link in each direction, in Mbit: 12 kB, the mean of small
answers and some downloads."""


def requests_per_s(cores: float, link_mbps: float) -> int:
    """Return the capacity of a VM, in requests a second; 0 when nothing is known.

    Args:
        cores: Processor time that the process gets each second, in seconds of one core.
        link_mbps: Bandwidth of its link, in Mbit/s.
    """
    by_cores = cores / CORE_S_PER_REQUEST
    by_link = link_mbps / LINK_MBIT_PER_REQUEST
    known = [rate for rate in (by_cores, by_link) if rate > 0]
    return max(1, int(min(known))) if known else 0
