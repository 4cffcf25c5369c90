"""The operators' configuration and the daemon's settings: types, reading and checks.

Owns the types, their TOML form and the error messages about them. Relies on msgspec and on
`net.address`. Read `configuration` (types) first, then `loading` (reading and checking).
"""
