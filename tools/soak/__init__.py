"""Fault soak: the real program as separate processes, faults from outside, promises checked.

    python -m tools.soak --seeds=1:50 --jobs=3

One seed is one short day: entry VMs as processes, stand-ins for the store and the backend servers
behind relays, callers that cling to their connections, an operator who changes the configuration,
and troubles drawn from the seed that overlap. Start with `day`; `world` has the parts, `troubles`
harm them, `callers` use them, `ledger` records what happens, `promises` judge by it.
"""
