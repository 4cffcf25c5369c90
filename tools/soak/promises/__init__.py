"""Judges one day of the soak by what callers and backend servers observed.

Start with `judge`, which lists all checks; `evidence` is what they read. A check is a function of
the evidence that records each broken promise in the ledger; none looks into a process of the
system. A check with a time bound skips entry VMs that a fault affected shortly before, according to
the ledger. The tests are in `tests/test_soak.py`.
"""
