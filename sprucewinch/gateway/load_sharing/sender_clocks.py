"""Tells when a message of another VM was sent, on this VM's clock.

A datagram that waited in a network or in the buffers of a process that stood still looks as young
as when it was sent. Each message therefore states the sender's monotonic time. The least difference
between the time of arrival and that time, over the messages of a sender, belongs to the message
that came fastest; one with a greater difference came late by as much more. So a copy or a late
message is dated like one that came at once. Two clocks do not run equally fast, so the least
difference is that of the last one to two times `_WINDOW_S`.

Nothing can be told of the first message of a sender, which counts as sent when it arrives. The
caller therefore passes no first messages in while this VM itself has just stood still. Times are in
seconds.

Owns the differences, for `_KEPT_S` after the last message of a sender; relies on nothing. Tests:
`test_gateway_load_sharing_rules`.
"""

_WINDOW_S = 30.0
"""Time for which a difference counts, at least, in seconds: clocks drift by a few milliseconds in
it, which is little beside the time for which a pace lasts."""

_KEPT_S = 60.0
"""Time after its last message for which a sender is remembered, in seconds."""


class _Clock:
    """The least differences between a sender's clock and this one, in seconds."""

    __slots__ = ("least", "least_in_window", "seen_at", "window_end")

    def __init__(self, difference_s: float, now: float) -> None:
        self.least = self.least_in_window = difference_s
        self.window_end = now + _WINDOW_S
        self.seen_at = now

    def record(self, difference_s: float, now: float) -> None:
        """Record the difference of a message that arrives at a monotonic time, in seconds."""
        if now >= self.window_end:
            self.least, self.least_in_window = self.least_in_window, difference_s
            self.window_end = now + _WINDOW_S
        self.least = min(self.least, difference_s)
        self.least_in_window = min(self.least_in_window, difference_s)
        self.seen_at = now


class SenderClocks:
    """The clocks of other VMs, by the number of their process."""

    def __init__(self) -> None:
        self._clocks: dict[int, _Clock] = {}

    def knows(self, sender: int) -> bool:
        """Return whether a message of a sender has arrived before."""
        return sender in self._clocks

    def sent_at(self, sender: int, sent_s: float, now: float) -> float:
        """Return when a message was sent, on this VM's clock.

        Args:
            sender: Number of the sender's process.
            sent_s: Time on the sender's monotonic clock.
            now: Monotonic time here.
        """
        clock = self._clocks.get(sender)
        if clock is None:
            clock = self._clocks[sender] = _Clock(now - sent_s, now)
        clock.record(now - sent_s, now)
        return sent_s + clock.least

    def forget_old(self, now: float) -> None:
        """Forget the senders that have long sent nothing."""
        self._clocks = {n: c for n, c in self._clocks.items() if now - c.seen_at <= _KEPT_S}
