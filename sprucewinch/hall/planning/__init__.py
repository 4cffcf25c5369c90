"""Plans: which region serves which callers, and how a VM applies a plan.

Owns the planner, its lease and the tables built from a configuration. Relies on `steering` for the
decisions. Start with `planner` and `planner_lease`, then `shares_in_force`, `lookup` and `links`.
"""
