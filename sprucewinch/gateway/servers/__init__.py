"""What a VM knows of backend servers, and how much it may send to each.

Owns load, the concurrency limit, the cold limit, outlier ejection, probes and kept connections.
Relies on `state` for the store's entries. Read `backend_server` first, then `backend_registry`.
"""
