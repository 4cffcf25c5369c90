"""The life cycle of the process: reload of the settings, periodic upkeep and graceful stop.

Owns how a VM stops and how it reloads its settings. Relies on the parts of `composition` and on
`listeners`; only `daemon` uses it. Read `shutdown` first.
"""
