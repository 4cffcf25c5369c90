"""Reloads the settings of a running process.

A reload happens on SIGHUP and at regular intervals from `upkeep`. `Reloader` owns the event that
reports the outcome. It relies on one function that reads the settings and on another that puts them
in force.

Settings that have changed and are valid are accepted. `daemon.Gateway` puts a part of them in force
at once (limits on cold servers and retries, grace period, TTL of look-up answers, address of the
store) and leaves the others until the next start, although the outcome `taken` covers all of them.
If the settings are invalid, the last valid ones stay in force and the event gives the cause, as a
process that steers by old settings is better than one that ends. Unchanged settings are reported
only if a signal asked for the reload.

There are no constants. The result is the event `reload` with the outcome `taken`, `refused` or
`unchanged`. Tests: `test_formats_lines`, `test_process_gateway`.
"""

from collections.abc import Callable
from typing import Optional

from ...errors import SettingsError
from ..events import EventLog
from ..settings import GatewaySettings


class Reloader:
    """Reloads the settings.

    Args:
        reread: Returns the settings as they are now, or None if they are unchanged; raises a
            `SettingsError` if they are invalid.
        apply: Puts settings in force.
        events: Receives the event with the outcome.
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
        """Reload the settings on a signal; reports the outcome in any case."""
        if not self.reload_if_changed():
            self.events.state("reload", outcome="unchanged")

    def reload_if_changed(self) -> bool:
        """Put changed settings in force; returns False if they are unchanged.

        Invalid settings count as changed: the event reports them, and they are not put in force.
        """
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
