"""Scripts for developers: a local fleet, seeded load, measurements, the soak, source checks.

Owns nothing that the product needs; nothing in `sprucewinch` imports it. Read `fleet` and `load`
for the own interface, `entry_vm` and `soak` for the platform.
"""
