"""HTTP and addresses: listeners, connections, requests and answers, without any decision.

Owns how bytes become requests and answers, for callers, VMs and backend servers alike. Relies on
uvicorn, aiohttp and httptools. Read `connection` first, then `http_server`.
"""
