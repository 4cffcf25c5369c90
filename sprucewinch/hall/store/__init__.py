"""The platform's store as the own interface uses it: documents, leases and the list of VMs.

This package owns the versioned documents and the client of the store. It relies on
`net.http_client`. Read `store` first: it is the interface; `http_store` implements it.
"""
