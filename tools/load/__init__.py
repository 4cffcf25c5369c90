"""Seeded load on the own interface as callers make it, checked against what the servers ran.

Start with `load`, which plans the arrivals; `request` is the way of one of them.
"""
