"""The life of the process while it runs: reload, regular upkeep, stop.

Owns the rule of a stop and that of a reload. Relies on the parts of `composition` and on
`listeners`; `daemon` alone uses it. Read `shutdown` first.
"""
