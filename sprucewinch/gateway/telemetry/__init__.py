"""Support for the decision log: the limit on its rate of lines and the latency histograms.

Owns the limit on the rate of lines. Relies on nothing else of the gateway; only `decision_log` uses
it. Read `line_rate` first.
"""
