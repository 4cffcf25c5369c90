"""The request path of the own interface: the filters that `dispatch` applies in order.

Owns admission to backend servers and tickets. `at_most_once` guards operations that must not run
twice, `local` runs a request on this hall's servers, `other_halls` forwards it to another hall, and
`retry_after` sets the Retry-After of a refusal. Read `dispatch` first.
"""
