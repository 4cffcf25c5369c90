"""Rule: which settings are in force after a reload.

Question: what a process does when its settings are looked at again, on SIGHUP or by the regular
upkeep. Owns nothing but the outcome's line. Relies on the function that reads the settings and on
the one that puts them in force.

Rule: settings that have changed and can be used are taken; `daemon.Gateway` puts a part of them in
force at once (limits on cold servers and retries, grace time, time of look-up answers, address of
the store) and leaves the others until the next start, though the line says `taken` of all. Settings
that cannot be used leave the last good ones, with the cause in a line, as a process that steers by
old settings is better than one that ends. Unchanged settings are named in a line only when a signal
has asked.

Constants: none. The result shows in the event `reload` (`taken`, `refused`, `unchanged`). Tests:
`test_formats_lines`, `test_process_gateway`.
"""

from collections.abc import Callable
from typing import Optional

from ...errors import SettingsError
from ..events import EventLog
from ..settings import GatewaySettings


class Reloader:
    """Looks at the settings again.

    Args:
        reread: Returns the settings as they are now, or None when they are unchanged; raises a
            `SettingsError` when they cannot be used.
        apply: Puts settings in force.
        events: Takes the outcome's line.
    """

    def __init__(
        self,
        reread: Callable[[], Optional[GatewaySettings]],
        apply: Callable[[GatewaySettings], None],
        events: EventLog,
    ) -> None:
        self.reread = reread
        self.apply = apply
        self.events = events

    def reload(self) -> None:
        """Look at the settings because a signal asks for it; writes a line in any case."""
        if not self.reload_if_changed():
            self.events.state("reload", outcome="unchanged")

    def reload_if_changed(self) -> bool:
        """Put changed settings in force; returns False when they are unchanged."""
        try:
            settings = self.reread()
        except SettingsError as error:
            self.events.state("reload", outcome="refused", cause=str(error))
            return True
        if settings is None:
            return False
        self.events.state("reload", outcome="taken")
        self.apply(settings)
        return True
