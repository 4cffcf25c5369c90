"""Workspaces: who a caller is, how much its workspace may send, and in which order it is served.

Owns API keys and the fair order within a rank. `admission` combines them for a request; the
decisions stand in `keys`, `key_table`, `fair_order` and `allowed_regions`, free of I/O. Relies on
the configuration in `state` and on `quotas` for what a workspace may send over the whole fleet.
"""
