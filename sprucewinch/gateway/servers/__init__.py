"""What a VM knows of backend servers, and how much it may send to each.

Owns load and room (`capacity`), the cold limit, outlier ejection, probes and kept connections; each
rule has one module. Relies on `state` for the store's entries. Read `usability` first, then
`backend_server` and `backend_registry`.
"""
