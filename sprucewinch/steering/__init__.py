"""Regional steering decisions that both programs share, without input or output.

Owns policies and their bounds, the guard, the shift cap, and the placement of blocks and objects.
Relies on `errors` and `_hash` alone. Start with `guard`, which turns measures into shares.
"""
