"""Troubles of the soak: faults and planned work, a module for each thing that they strike.

Start with `trouble`, which says what a trouble is; `kinds` lists those that a day draws from.
"""
