"""The routed request path, which runs on the platform: one process on each entry VM.

Owns start and stop, listeners, settings and the decision log; its folders own the rest: `requests`
(a request's way), `regions` (shares of regions), `servers` (what is known of backend servers),
`following` (who follows the store), `membership` (who is there), `state` (the store's items as held
here). A folder uses those named after it, never those before. Read `daemon` first, then
`requests.pipeline`.
"""
