"""The capacity of one backend server: its load, usual times, and the requests that wait for room.

Each rule has one module: `load` estimates how many requests the server holds, `service_times` knows
what is usual for its service, and `room_queue` orders the waiting requests. Relies only on the
store's entries; each `backend_server` holds a load estimate and a queue.
"""
