"""Judges how often a request that crashes servers is still forwarded.

Owns the promise CRASHES. By the platform's rules, VMs in touch with the store may forward it three
times at most later than `CONTACT_S` after the third crash. `answers` judges that no other request
is refused for this reason.
"""

from .evidence import CONTACT_S, SLACK_S, Evidence

_CRASHES = 3
"""Crashes after which a request may be forwarded only a few more times."""

_MAX_LATER_SENDS = 3
"""Maximum number of times that it may be forwarded after that."""


def rarely_forwarded(evidence: Evidence) -> None:
    """Judge that a request which crashed servers is forwarded only a few more times."""
    for target, crashes in evidence.ledger.crashes.items():
        if len(crashes) < _CRASHES:
            continue
        known_at = sorted(crashes)[_CRASHES - 1] + CONTACT_S + SLACK_S
        sends = [send for send in evidence.ledger.crashing_sends if send.target == target]
        later = [
            seen
            for send in sends
            for seen in evidence.runs.get(send.request_id, [])
            if seen.at > known_at and evidence.in_touch(send.vm, seen.at, seen.at)
        ]
        if len(later) > _MAX_LATER_SENDS:
            what = f"{target} was forwarded {len(later)} more times after {len(crashes)} crashes"
            evidence.ledger.record_broken("CRASHES", what)
