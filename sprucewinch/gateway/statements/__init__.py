"""What backend servers state of themselves: rate limits, leaving, pauses. Read `statement` first.

Covers how statements are read from answers, what this VM and others know of them, and what follows
for requests.
"""
