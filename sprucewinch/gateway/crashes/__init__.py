"""Requests that crash the backend servers which run them: how they are told, refused, let go.

Owns the evidence, the rule that judges by it, what VMs tell each other of it, and the quarantine.
Start with `guilt`; relies on `servers`, `following`, `state` and `datagrams`. `requests` uses it.
"""
