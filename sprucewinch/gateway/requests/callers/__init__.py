"""The callers' side of a request: what is read of it, what may be held of it, what is written back.

Owns the reading of a request from ASGI, the admission of its body into memory, and the writing of
its final answer. Relies on the request's types and on header names. `app` puts them together.
"""
