"""Requests that crash the backend servers which run them: their detection, refusal and release.

Owns the evidence, the rule that assesses it, the messages of it between VMs, and the quarantine.
Start with `crash_attribution`; relies on `servers`, `following`, `state` and `datagrams`.
`requests` uses it.
"""
