"""Interface to everything that differs between platforms; an adapter implements it.

Owns the interface. Relies on types of the gateway; the names that a platform uses occur only in its
adapter.
"""

import abc
from collections.abc import Callable
from typing import Optional

from ..net.http_server import AsgiApp
from .header_names import HeaderNames
from .membership.directory import Directory
from .settings import GatewaySettings
from .state.store import Store
from .state.store_view import Decoder


class PlatformAdapter(abc.ABC):
    """Translates between a platform and the gateway.

    Attributes:
        names: Names of headers and cookies on the platform.
        decoder: Decodes the platform's items in the store.
    """

    names: HeaderNames
    decoder: Decoder

    @abc.abstractmethod
    def store(self, settings: GatewaySettings, monotonic: Callable[[], float]) -> Store:
        """Return a client of the platform's store.

        Args:
            settings: Settings with the address of the store.
            monotonic: Source of time, in seconds.
        """

    @abc.abstractmethod
    def probed_incarnation(self, body: bytes) -> Optional[int]:
        """Return the incarnation of the backend server that answered a probe; None if not stated.

        Args:
            body: Body of the answer.
        """

    @abc.abstractmethod
    def directory_app(self, directory: Directory, monotonic: Callable[[], float]) -> AsgiApp:
        """Return the application that answers look-ups.

        Args:
            directory: Provides the answers.
            monotonic: Source of time, in seconds.
        """

    @abc.abstractmethod
    def ready_app(self, ready: Callable[[], bool]) -> AsgiApp:
        """Return the application that answers readiness checks.

        Args:
            ready: Returns whether callers may be sent to this VM.
        """
