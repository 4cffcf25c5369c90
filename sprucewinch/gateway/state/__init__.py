"""This VM's copy of the store: the replica, the resources decoded from it, and outages.

Relies on the adapter's decoder, and on no other part of the gateway but its types. Read
`store_view` first, then `replica`.
"""
