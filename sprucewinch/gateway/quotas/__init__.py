"""Limits on requests that all VMs enforce together: buckets, their owners, and grants held by VMs.

Owns the messages between VMs that keep the limits. The decisions stand in `bucket`, `owners` and
`leases`, free of I/O; read `quotas` first. Relies on `membership` and on datagrams; who is limited,
and why, is not known here.
"""
