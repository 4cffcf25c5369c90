"""What backend servers state of themselves: limits, leaving, rest. Read `statement` first.

Owns the decoding of statements, what this VM and others were told, and what follows for requests.
"""
