"""Elects the VMs that follow the store, and lets the other VMs follow those.

Owns the election of store followers, progress notices, and deltas between VMs. Relies on
`membership` for the VMs that are in touch and on `state` for the revision held. Read `follow_role`
first, then `store_follower` and `peer_follower`.
"""
