"""The request path of the product's own interface: the filters that `sprucewinch.dispatch` orders.

`once` guards operations that must not run twice, `local` runs a request on this hall's backend
servers, `elsewhere` hands it to another hall, `comeback` tells a refused caller when to return.
"""
