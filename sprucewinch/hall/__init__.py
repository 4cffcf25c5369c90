"""The project's own interface: look-ups, tickets and requests within data halls and between them.

Owns everything that `sprucewinchd` runs. Relies on `steering` for decisions on regions and on
`config` for the operators' configuration. Read `node` first: it builds the parts of one VM that do
no I/O and gives the order of a round; then `loops` and `requests.dispatch`.
"""
