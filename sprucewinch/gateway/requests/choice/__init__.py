"""Selects the backend server of a request, or says why none is selected.

`server_order` ranks the servers for an object, `server_selection` selects one of them, and `room`
decides whether it has room and how long the request waits for it; `server_choice` runs these steps
in order. The package relies on `regions` for the regions' shares and on `servers` for the state of
backend servers. Read `server_choice` first.
"""
