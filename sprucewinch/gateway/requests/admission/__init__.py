"""Admission under scarcity: a request is sent, waits, or is refused at once with a time to return.

Start with `admission`, which holds the rule. `returning` recognises callers that were refused
before, `demand` counts what each kind asks for, `service_rate` knows how much work the servers of a
service do, and `gate` gives the rule its inputs. The package acts only where the servers of a
service state their pace; everywhere else `choice.room` decides alone.
"""
