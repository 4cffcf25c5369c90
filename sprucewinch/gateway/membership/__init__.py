"""Which entry VMs there are: heartbeats by gossip, registration, the directory for callers.

Owns heartbeats and this VM's registration in the store. Relies on `state` for registered VMs. Read
`gossip` first.
"""
