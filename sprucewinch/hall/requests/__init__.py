"""A request's way on the own interface: the filters that `dispatch` puts in order.

Owns admission to backend servers and tickets. `at_most_once` guards operations that must not run
twice, `local` runs a request on this hall's servers, `other_halls` hands it to another hall,
`return_time` sets the time after which a refused caller returns. Read `dispatch` first.
"""
