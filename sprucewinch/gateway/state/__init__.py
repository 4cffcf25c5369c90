"""The store's items as this VM holds them: replica, decoded resources, outages.

Owns the replica and the resources decoded from it. Relies on the adapter's decoder and on nothing
else of the gateway but its types. Read `store_view` first, then `replica`.
"""
