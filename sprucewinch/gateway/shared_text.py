"""Renders a text on the event loop in short slices, once for all requests that overlap.

The metrics of a VM have three lines for each route. Rendered in one go, those of thousands of
routes would hold the event loop, and with it all requests. `SharedText` takes part after part from
an iterator and lets other work go on after each `_SLICE_S`. A request that comes while a rendering
is on its way gets that one, so that requests at the same time cost no more than one.

Inputs are an iterator of parts and monotonic times in seconds. The time of a slice shows as
`loop_hold_max_ms` on `/metrics`, by step. Tests: `test_gateway_shared_text`.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator
from typing import Optional

from .events import EventLog, NoEvents

_SLICE_S = 0.002
"""Time of a slice, in seconds: a request that goes on in ten turns of the loop is held up by a few
hundredths of a second."""


class SharedText:
    """A text that is rendered when it is requested.

    Args:
        step: Name of the rendering among the steps that hold the event loop.
        parts: Returns the parts of the text as it is now; no part may take long.
        monotonic: Source of monotonic time, in seconds.
        events: Measures the slices; None to measure none.
    """

    __slots__ = ("_rendering", "events", "monotonic", "parts", "step")

    def __init__(
        self,
        step: str,
        parts: Callable[[], Iterable[str]],
        *,
        monotonic: Callable[[], float],
        events: Optional[EventLog] = None,
    ) -> None:
        self.step = step
        self.parts = parts
        self.monotonic = monotonic
        self.events = events or NoEvents()
        self._rendering: Optional[asyncio.Task[bytes]] = None

    async def render(self) -> bytes:
        """Return the text, from a rendering that is on its way if there is one."""
        if self._rendering is None:
            self._rendering = asyncio.create_task(self._render())
            self._rendering.add_done_callback(self._forget)
        # The rendering goes on if one of those that wait for it leaves.
        return await asyncio.shield(self._rendering)

    def _forget(self, _rendering: "asyncio.Task[bytes]") -> None:
        self._rendering = None

    async def _render(self) -> bytes:
        text: list[str] = []
        parts = iter(self.parts())
        while self._take_slice(parts, text):
            await asyncio.sleep(0)
        return "".join(text).encode()

    def _take_slice(self, parts: Iterator[str], text: list[str]) -> bool:
        """Add parts to a text for the time of a slice; returns False once all are added."""
        with self.events.loop_step(self.step):
            until = self.monotonic() + _SLICE_S
            for part in parts:
                text.append(part)
                if self.monotonic() >= until:
                    return True
        return False
