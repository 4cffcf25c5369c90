"""A second try of a request that runs unusually long, beside the first (a hedged request).

`hedge_rule` decides when a second try pays, without I/O; `hedged_sender` runs both and returns the
answer that comes first. `pipeline` sends through it. The package relies on the sender, the server
choice and the retry budgets.
"""
