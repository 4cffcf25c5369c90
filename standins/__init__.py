"""Stand-ins for the systems around sprucewinch, for tests, the demo and the soak.

Owns fakes of the store, the platform's service, backend servers and links, and a virtual clock.
The product never imports it. For the platform read `consortium_store` and `scripted_server`, for
the own interface `platform` and `backend`.
"""
