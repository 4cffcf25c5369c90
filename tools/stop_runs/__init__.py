"""Stops a real entry VM beside requests at known moments, and judges what became of each of them.

Read `__main__` first.
"""
