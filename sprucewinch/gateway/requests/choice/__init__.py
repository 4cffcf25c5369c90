"""Selects the backend server of a request, or says why none is selected.

`server_order` ranks the servers for an object, `server_selection` selects one of them, and `room`
decides whether it has room and how long the request waits for it; `server_choice` runs these steps
in order. Where servers report their load and pace, `placement` finds the candidates of a request,
`expected_time` decides among them and `region_moves` limits moves to other regions; elsewhere
`spillover` decides when a busy server is helped. The package relies on `regions` for the regions'
shares, on `servers` for the state of backend servers and on `estimates`. Read `server_choice`
first.
"""
