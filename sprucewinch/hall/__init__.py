"""The project's own interface: look-ups, tickets and requests within data halls and between them.

This package owns everything that `sprucewinchd` runs. It relies on `steering` for decisions about
regions and on `config` for the operators' configuration. Read `node` first: it builds the parts of
one VM that do no I/O and defines the order of a round; then `loops` and `requests.dispatch`.
"""
