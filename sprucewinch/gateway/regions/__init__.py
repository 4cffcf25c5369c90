"""Which region serves which objects: policies in force, region reports, shares.

Owns the shares in force at this VM. Relies on `steering` for the decisions and on `servers` for
capacity and load. Read `shares` first.
"""
