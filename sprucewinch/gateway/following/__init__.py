"""Who follows the store, and how the other VMs follow a VM that does.

Owns the choice of followers, progress notices and deltas between VMs. Relies on `membership` for
who is there and on `state` for what is held. Read `follow_role` first, then `followers`.
"""
