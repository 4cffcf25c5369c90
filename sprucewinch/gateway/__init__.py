"""The routed request path: callers' requests go to backend servers of any data hall.

Read `pipeline` first: it is the order of the filters. What a machine believes is in `beliefs`.
"""
