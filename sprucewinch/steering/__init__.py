"""The decisions on regions that both programs share, free of input and output.

Owns policies and their bounds, the guard, the shift cap, and the placement of blocks and objects.
Relies on `errors` and `_hash` alone. Read `guard` first: measures in, shares out.
"""
