"""HTTP and addresses: listeners, connections, requests and answers.

Owns how bytes become requests and answers, for callers, VMs and backend servers alike, with their
limits and timeouts; makes no steering decision. Relies on uvicorn, aiohttp and httptools. Read
`connection` first, then `http_server`.
"""
