"""Workspaces: who a caller is, how much its workspace may send, and in which order it is served.

Owns API keys, quotas of the whole fleet, the messages between VMs that keep them, and the fair
order within a rank. `admission` puts them together for a request; the decisions stand in `keys`,
`key_table`, `quota_bucket`, `quota_owners`, `quota_leases`, `fair_order` and `allowed_regions`,
free of I/O. Relies on the configuration in `state`, on `membership` and on datagrams.
"""
