"""Judges one day of the soak by what callers and backend servers saw.

Start with `judge`, which lists all checks; `evidence` is what they read. A check is a function of
the evidence that records a broken promise in the ledger; none looks into a process of the system. A
check with a time bound leaves out entry VMs that a fault struck shortly before, as the ledger has
it. Tests: `tests/test_soak.py`.
"""
