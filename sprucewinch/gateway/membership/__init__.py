"""Tracks which entry VMs run: heartbeats by gossip, registration in the store, and look-ups.

Owns heartbeats, this VM's registration and the directory for callers. Relies on `state` for
registered VMs. Read `gossip` first, then `registration`.
"""
