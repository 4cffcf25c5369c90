"""Plans: which region serves which callers, and how a VM follows a plan.

Owns the planner, its lease and the tables built from a configuration. Relies on `steering` for the
decisions. Read `planner` and `planner_lease` first, then `steering`, `lookup` and `links`.
"""
