"""What bounds and sums up the decision log: the rate of lines and the histograms of latency.

Owns the rule of the log rate. Relies on nothing else of the gateway; `decision_log` alone uses it.
Read `line_rate` first.
"""
