"""Admission under scarcity: a request is sent, waits, or is refused at once with a time to return.

Start with `admission`, which holds the rule, and `sent_part`, which says what part of each kind is
sent under overload. `returning` recognises callers that were refused before, `demand` counts what
each kind asks for, `service_rate` knows how much work the servers of a service do, and `gate` gives
the rules their inputs. The package acts only where the servers of a service state their pace;
everywhere else `choice.room` decides alone.
"""
