"""The daemon's settings, which an entry VM reads from a file when it starts.

Owns the types of the settings file, the limits of its listeners and the checks of all settings.
They do not change while the process runs. Relies on `toml_decode` for TOML and its messages and on
`net.address` for the form of addresses.
"""

from pathlib import Path

import msgspec

from ..errors import SettingsError
from ..net.address import is_address
from .toml_decode import decode, read_toml

_BYTES_PER_KIB = 1024


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of every listener.

    Args:
        header_bytes: Maximum size of a request's target and headers, in bytes.
        memory_body_bytes: Maximum size of the part of a body that is buffered in memory so that it
            can be sent again, in bytes.
        connections: Maximum number of open connections on one listener.
        requests: Maximum number of requests in flight on one listener.
    """

    header_bytes: int = 16 * _BYTES_PER_KIB
    memory_body_bytes: int = 64 * _BYTES_PER_KIB
    connections: int = 2000
    requests: int = 1000


class Stop(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a planned stop proceeds.

    Args:
        report_s: Interval of log lines about what still delays the stop, in seconds.
    """

    report_s: float = 5.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of one entry VM.

    Args:
        vm: Name of this entry VM, unique in the fleet.
        hall: Its data hall.
        region: Region of that hall.
        caller_address: `IP:PORT` that callers use.
        peer_address: `IP:PORT` that other entry VMs use.
        operators_address: `IP:PORT` that operators use.
        operators_token: Secret that every operator's call must carry.
        platform_address: `IP:PORT` of the platform's service.
        peers: Addresses of peers to contact first, so that a VM can start without the platform.
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


_MIN_TOKEN_CHARACTERS = 16
"""Minimum length of the operators' token: 64 bits in hexadecimal notation."""

_ADDRESSES = ("caller_address", "peer_address", "operators_address", "platform_address")
_LOG_FORMATS = ("text", "json")


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    Args:
        path: A TOML file.

    Returns:
        The settings.

    Raises:
        SettingsError: On one line, with the file, the key, what was found and what to write.
    """
    settings = decode(read_toml(path, SettingsError), Settings, str(path), SettingsError)
    check_settings(settings, str(path))
    return settings


def check_settings(settings: Settings, source: str) -> None:
    """Check what types cannot express.

    Args:
        settings: The settings.
        source: Name of the file, for messages.

    Raises:
        SettingsError: For the first violation found.
    """
    _check_names(source, settings)
    _check_addresses(source, settings)
    _check_token_and_format(source, settings)
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
    own_addresses = [getattr(settings, key) for key in _ADDRESSES]
    if len(set(own_addresses)) < len(own_addresses):
        raise SettingsError(f"{source}: two addresses are the same", "give each its own port")


def _check_token_and_format(source: str, settings: Settings) -> None:
    """Check the token's length and the log format."""
    if len(settings.operators_token) < _MIN_TOKEN_CHARACTERS:
        raise SettingsError(
            f"{source}: operators_token: found {len(settings.operators_token)} characters",
            f"write a secret of at least {_MIN_TOKEN_CHARACTERS}",
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
            f"{source}: {key}: found {text!r}", "write IP:PORT with an IP address, not a host name"
        )
