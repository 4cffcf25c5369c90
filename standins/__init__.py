"""Stand-ins for the systems around sprucewinch, used by tests, the demo and the soak.

The package holds fakes of the store, the platform's service, backend servers and network links, and
an event loop on a virtual clock. The product never imports it. `consortium_store` and
`scripted_server` stand in for the consortium's platform, `platform` and `backend` for the systems
behind sprucewinch's own interface.
"""
