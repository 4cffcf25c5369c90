"""Which entry VMs run: heartbeats by gossip, registration in the store, the directory for callers.

Owns heartbeats and this VM's registration. Relies on `state` for registered VMs. Read `gossip`
first, then `registration`.
"""
