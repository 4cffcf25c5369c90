"""The steps of one request: read, route, split, rank servers, select, send, judge, retry, answer.

The package holds every rule about a single request, and the retry budget. It relies on `regions`
for the region of an object and on `servers` for the state of backend servers. Read `pipeline`
first, as it runs the steps in order. `callers` reads requests and writes answers; `choice` selects
the backend server; `outcome` holds the rules for the end of a request: how long it is held, whether
it is retried, and what its caller gets.
"""
