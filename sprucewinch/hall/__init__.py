"""The product's own interface: look-ups, tickets and requests within data halls and between them.

Owns everything that `sprucewinchd` runs. Relies on `steering` for decisions on regions and on
`config` for what operators wrote. Read `node` first: it is one VM's view; then `requests.dispatch`.
"""
