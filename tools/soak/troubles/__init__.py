"""Troubles of the soak: injected faults and planned work, in one module for each affected part.

Start with `trouble`, the base class; `kinds` lists the kinds that a day draws from.
"""
