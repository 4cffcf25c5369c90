"""Shares among the VMs of a fleet what each hears of the load and pace of backend servers.

Read `load_sharing` first: when a VM sends what to whom. `load_summary` holds the message,
`pending_loads` what is sent next, `recipients` to whom and how often, `sender_clocks` how old a
message is, and `received_loads` what counts of it.
"""
