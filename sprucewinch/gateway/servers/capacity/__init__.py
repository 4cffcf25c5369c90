"""What one backend server can take: its load, its usual times, the requests that wait for room.

Owns three rules, one a module: `load` estimates how much it has, `service_times` what is usual in
its service, `room_queue` which waiting request is next. Relies on the store's entries alone;
`backend_server` holds one of each.
"""
