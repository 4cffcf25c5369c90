"""A model of a fleet that keeps limits on workspaces: the real decisions on virtual time and links.

`ways` holds ways to keep a limit beside the product's, `fleet` the VMs with their links, cuts and
starts, `demand` the callers, `judge` what was kept. `python -m tools.quota_model` compares them.
"""
