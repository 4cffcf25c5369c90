"""Seeded load generator for the own interface; results are checked against the servers' runs.

Start with `load`, which plans the arrivals; `request` sends one of them.
"""
