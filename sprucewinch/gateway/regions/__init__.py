"""Steering between regions: the policies in force, the reports of regions and the shares.

Owns the shares of the regions in force at this VM. Relies on `steering` for the decisions and on
`servers` for capacity and load. Read `shares` first.
"""
