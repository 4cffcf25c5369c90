"""The platform's store as the own interface uses it: documents, leases, the list of VMs.

Owns the versioned documents and the client of the store. Relies on `net.http_client`. Read `store`
first: it is the interface; `http_store` implements it.
"""
