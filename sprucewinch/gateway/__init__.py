"""The routed request path, which runs on the platform as one process on each entry VM.

Owns start and stop, listeners, settings and the decision log. Its subpackages own the rest:
`requests` (processing of a request), `regions` (shares of the regions), `servers` (state of the
backend servers), `following` (which VMs follow the store), `membership` (which VMs are present) and
`state` (this VM's copy of the store's items). A subpackage imports those named after it, never
those before it. Read `daemon` first, then `requests.pipeline`.
"""
