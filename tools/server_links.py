"""Faults of the links between one entry VM and all backend servers, for tests with real processes.

Owns an event loop that hands out connections to backend servers with a fault in force, which a file
beside the VM's settings names. The store, callers and other VMs are still reached. The loop runs in
the VM's own process, as an address on loopback does not tell which VM connects. Relies on
`sprucewinch.boot_time_loop`.
"""

import asyncio
import enum
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any, Optional

from sprucewinch.boot_time_loop import BootTimeEventLoop

LINKS_SUFFIX = ".links"
"""Suffix of the file that holds the fault, beside the settings; no file means none."""

_READ_INTERVAL_S = 0.02
"""Time between two looks at the file, in seconds."""

_SERVERS_IP = "127.0.0.1"
"""Address of all backend servers; entry VMs have loopback addresses of their own."""


class LinkFault(enum.Enum):
    """What happens to the connections of an entry VM to all backend servers."""

    NONE = "none"
    RESET = "open connections and new ones are reset"
    SILENT = "nothing arrives any more in either direction"
    NO_NEW = "open connections live on, new ones are refused"


CUTS = (LinkFault.RESET, LinkFault.SILENT, LinkFault.NO_NEW)
"""The ways in which an entry VM loses its links."""


def set_fault(settings: Path, fault: LinkFault) -> None:
    """Put a fault in force at the VM that these settings belong to."""
    settings.with_suffix(LINKS_SUFFIX).write_text(fault.name, encoding="utf-8")


class ServerLinksLoop(BootTimeEventLoop):
    """An event loop whose connections to backend servers fail as a file says.

    Args:
        settings: Settings file of the VM.
        store_port: Port of the store, which has the same address as the backend servers.
        now: Returns the time since boot, in seconds.
    """

    def __init__(self, settings: Path, store_port: int, now: Callable[[], float]) -> None:
        super().__init__(now)
        self.file = settings.with_suffix(LINKS_SUFFIX)
        self.store_port = store_port
        self.fault = LinkFault.NONE
        self.held: dict[Any, list[bytes]] = {}
        self.transports: list[Any] = []
        self.call_soon(self._look)

    async def create_connection(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        host: Optional[str] = None,
        port: Optional[int] = None,
        **options: Any,
    ) -> tuple[Any, Any]:
        """Connect, unless the fault in force prevents it.

        Raises:
            ConnectionRefusedError: If new connections to backend servers are refused.
        """
        if host != _SERVERS_IP or port == self.store_port:
            return await super().create_connection(protocol_factory, host, port, **options)
        while self.fault is LinkFault.SILENT:
            await asyncio.sleep(_READ_INTERVAL_S)
        if self.fault is not LinkFault.NONE:
            raise ConnectionRefusedError(f"{host}:{port}")
        transport, protocol = await super().create_connection(
            protocol_factory, host, port, **options
        )
        self.transports = [each for each in self.transports if not each.is_closing()]
        self.transports.append(transport)
        return transport, protocol

    def _look(self) -> None:
        """Put the fault in force that the file names."""
        fault = self._read()
        if fault is not self.fault:
            self.fault = fault
            self._apply()
        self.call_later(_READ_INTERVAL_S, self._look)

    def _read(self) -> LinkFault:
        try:
            return LinkFault[self.file.read_text(encoding="utf-8")]
        except (OSError, KeyError):
            # No file means no fault, and one that is half written is read again.
            return LinkFault.NONE if not self.file.exists() else self.fault

    def _apply(self) -> None:
        self._release()
        open_transports = [each for each in self.transports if not each.is_closing()]
        if self.fault is LinkFault.RESET:
            for transport in open_transports:
                _reset(transport)
        elif self.fault is LinkFault.SILENT:
            for transport in open_transports:
                self._hold(transport)

    def _hold(self, transport: Any) -> None:
        """Let nothing pass on a connection, and keep what is written to it."""
        transport.pause_reading()
        held = self.held[transport] = []
        transport.write = held.append

    def _release(self) -> None:
        """Let connections pass what was held back, as TCP sends it again."""
        for transport, held in self.held.items():
            del transport.write
            if not transport.is_closing():
                transport.write(b"".join(held))
                transport.resume_reading()
        self.held = {}


def _reset(transport: Any) -> None:
    """Reset a connection at both ends."""
    raw = transport.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    transport.abort()
