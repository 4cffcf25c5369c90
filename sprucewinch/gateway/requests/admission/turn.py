"""Whether the turn of a request has come, as admission counted it when the request arrived.

The value is kept with the request, as a request that waits asks for room again and again and must
be counted once. It holds no decision; `sent_part` makes it and `admission` uses it.
"""

from typing import NamedTuple


class Turn(NamedTuple):
    """The turn of a request among all requests for its service.

    Args:
        come: True if it is sent as far as others are concerned.
        urgent_first: True if requests of more urgent kinds are sent before it.
        crowded_out: True if more urgent kinds ask for all that the service bears.
        overload: True if callers ask for more than the service bears.
    """

    come: bool = True
    urgent_first: bool = False
    crowded_out: bool = False
    overload: bool = False
