"""A request's way on the own interface: the filters that `dispatch` puts in order.

Owns admission to backend servers and tickets. `once` guards operations that must not run twice,
`local` runs a request on this hall's servers, `elsewhere` hands it to another hall, `comeback` says
when a refused caller may return. Read `dispatch` first.
"""
