"""The callers' side of a request: reads it, admits its body into memory, writes its final answer.

The package reads requests from ASGI. It relies on the types in `client_request` and on the header
names. `app` combines its modules.
"""
