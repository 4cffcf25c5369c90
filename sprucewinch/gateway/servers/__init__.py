"""What a VM knows of backend servers, and how many requests it may send to each.

Covers load and room (`capacity`), the cold limit, outlier ejection, back-off, probes and kept
connections, with one module for each rule. Relies on `state` for the store's entries. Read
`usability` first, then `backend_server` and `backend_registry`.
"""
