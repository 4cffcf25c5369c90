"""The operators' configuration and the daemon's settings: types, reading and checks.

Owns the types, their TOML form and the messages about faults in them. Relies on msgspec and on
`net.address`. Read `configuration` (types) first, then `loading` (what may enter).
"""
