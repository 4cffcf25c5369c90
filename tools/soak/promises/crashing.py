"""Judges how often a request that crashes servers is sent on.

Owns the promise CRASHES. Bound: three sends by VMs in touch, later than `CONTACT_S` after the third
crash, by the platform's rules. That no other request is refused for it is judged by `answers`.
"""

from .evidence import CONTACT_S, SLACK_S, Evidence

_CRASHES = 3
"""Crashes after which a request may be sent only a few times more."""

_MOST_LATER = 3
"""Sends after that at most."""


def sent_on_rarely(evidence: Evidence) -> None:
    """Judge that a request under which servers have ended hardly reaches servers any more."""
    for target, crashes in evidence.ledger.crashes.items():
        if len(crashes) < _CRASHES:
            continue
        known_at = sorted(crashes)[_CRASHES - 1] + CONTACT_S + SLACK_S
        sends = [send for send in evidence.ledger.sick_sends if send.target == target]
        later = [
            seen
            for send in sends
            for seen in evidence.runs.get(send.request_id, [])
            if seen.at > known_at and evidence.in_touch(send.vm, seen.at, seen.at)
        ]
        if len(later) > _MOST_LATER:
            what = f"{target} was sent {len(later)} times more, {len(crashes)} servers ended"
            evidence.ledger.breaks("CRASHES", what)
