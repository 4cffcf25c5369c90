"""Which backend server gets a request, or why none does.

Owns three rules, one a module: `server_order` orders the servers for an object, `server_selection`
selects one of them, `room` says whether it has room and how long to wait for that; `server_choice`
is their order. Relies on `regions` for shares and on `servers` for what is known of backend
servers. Read `server_choice` first.
"""
