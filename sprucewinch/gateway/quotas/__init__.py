"""Limits on requests that all VMs keep together: buckets, their owners, and what VMs hold of them.

Owns the messages between VMs that keep them. The decisions stand in `bucket`, `owners` and
`leases`, free of I/O; read `quotas` first. Relies on `membership` and on datagrams; who is limited,
and why, is not known here.
"""
