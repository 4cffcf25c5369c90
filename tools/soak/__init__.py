"""Fault soak: the real program as separate processes, faults from outside, promises checked.

    python -m tools.soak --seeds=1:50 --jobs=3

A day is one short scenario, drawn from a seed: entry VMs as processes, stand-ins for the
store and the backend servers behind relays, callers of which some keep to one connection, an
operator who changes the configuration, and troubles (injected faults and planned work) that
overlap. Start with `day`; `world` holds the parts of the deployment, `troubles` injects the faults,
`callers` sends the requests, `ledger` records what happens, and `promises` judges the record.
"""
