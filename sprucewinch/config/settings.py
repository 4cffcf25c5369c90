"""The daemon's settings: what one entry VM reads about itself at start.

Owns the types of the settings file, the limits of every listener and their checks. A process reads
its settings once; nothing changes them while it runs. Relies on `toml_decode` for TOML and its
messages and on `net.address` for the form of addresses.
"""

from pathlib import Path

import msgspec

from ..errors import SettingsError
from ..net.address import is_address
from .toml_decode import decode, read_toml

_KIB = 1024
"""Bytes in a kibibyte."""


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of every listener.

    Args:
        header_bytes: Most bytes of a request's headers.
        memory_body_bytes: Most bytes of a body kept in memory so that it can be sent again.
        connections: Most open connections on one listener.
        requests: Most requests in flight on one listener.
    """

    header_bytes: int = 16 * _KIB
    memory_body_bytes: int = 64 * _KIB
    connections: int = 2000
    requests: int = 1000


class Stop(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a planned stop proceeds.

    Args:
        report_s: Seconds between log lines that name what still holds the stop up.
    """

    report_s: float = 5.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one entry VM knows about itself before it asks anyone.

    Args:
        vm: Name of this entry VM, unique in the fleet.
        hall: Data hall it stands in.
        region: Region of that hall.
        caller_address: `IP:PORT` that callers use.
        peer_address: `IP:PORT` that other entry VMs use.
        operators_address: `IP:PORT` that operators use.
        operators_token: Secret that every operator's call must carry.
        platform_address: `IP:PORT` of the platform's service.
        peers: Peer addresses to ask first, for a start without the platform.
        log_format: `text` (key=value) or `json`.
        limits: Limits of the listeners.
        stop: How a planned stop proceeds.
    """

    vm: str
    hall: str
    region: str
    caller_address: str
    peer_address: str
    operators_address: str
    operators_token: str
    platform_address: str
    peers: tuple[str, ...] = ()
    log_format: str = "text"
    limits: Limits = msgspec.field(default_factory=Limits)
    stop: Stop = msgspec.field(default_factory=Stop)


_MIN_TOKEN = 16
"""Fewest characters of the operators' token: 64 bits when it is written in hexadecimal."""

_ADDRESSES = ("caller_address", "peer_address", "operators_address", "platform_address")
_LOG_FORMATS = ("text", "json")


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Args:
        path: A TOML file.

    Returns:
        The settings.

    Raises:
        SettingsError: One line naming file, key, what was found and what to write.
    """
    settings = decode(read_toml(path, SettingsError), Settings, str(path), SettingsError)
    check_settings(settings, str(path))
    return settings


def check_settings(settings: Settings, source: str) -> None:
    """Check what types alone cannot.

    Args:
        settings: The settings.
        source: Name of the file, for messages.

    Raises:
        SettingsError: For the first fault found.
    """
    _check_names(source, settings)
    _check_addresses(source, settings)
    _check_words(source, settings)
    _check_limits(source, settings.limits)
    if settings.stop.report_s <= 0:
        raise SettingsError(f"{source}: stop.report_s: found 0 or less", "write seconds above 0")


def _check_names(source: str, settings: Settings) -> None:
    for key in ("vm", "hall", "region"):
        if not getattr(settings, key).strip():
            raise SettingsError(f"{source}: {key}: found an empty name", "write a name")


def _check_addresses(source: str, settings: Settings) -> None:
    for key in _ADDRESSES:
        _check_address(source, key, getattr(settings, key))
    for index, peer in enumerate(settings.peers):
        _check_address(source, f"peers[{index}]", peer)
    own = [getattr(settings, key) for key in _ADDRESSES]
    if len(set(own)) < len(own):
        raise SettingsError(f"{source}: two addresses are the same", "give each its own port")


def _check_words(source: str, settings: Settings) -> None:
    """Check the token's length and the log format."""
    if len(settings.operators_token) < _MIN_TOKEN:
        raise SettingsError(
            f"{source}: operators_token: found {len(settings.operators_token)} characters",
            f"write a secret of at least {_MIN_TOKEN}",
        )
    if settings.log_format not in _LOG_FORMATS:
        raise SettingsError(
            f"{source}: log_format: found {settings.log_format!r}",
            f"write one of: {', '.join(_LOG_FORMATS)}",
        )


def _check_limits(source: str, limits: Limits) -> None:
    for key in Limits.__struct_fields__:
        if getattr(limits, key) < 1:
            raise SettingsError(
                f"{source}: limits.{key}: found a number below 1", "write 1 or more"
            )


def _check_address(source: str, key: str, text: str) -> None:
    if not is_address(text):
        raise SettingsError(
            f"{source}: {key}: found {text!r}", "write IP:PORT with an IP number, no host name"
        )
