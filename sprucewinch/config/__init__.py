"""What operators and VMs are told in files: the configuration, the daemon's settings, their checks.

Owns the types, their TOML form and the messages about faults in them. Relies on msgspec and on
`net.address`. Read `configuration` first.
"""
