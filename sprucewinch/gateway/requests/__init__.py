"""A request's way: read, route, split, rank servers, select one, send, judge, retry, answer.

Owns every rule about a single request and the retry budget. Relies on `regions` for the region of
an object and on `servers` for what is known of backend servers. Read `pipeline` first: it is the
order. `callers` reads requests and writes answers; `choice` selects the server; `outcome` holds the
rules that end a request: how long it is held, whether it is sent again, what its caller gets.
"""
