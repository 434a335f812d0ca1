"""Make connections to upstreams; another wire form is another connector."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from beamhatch.edge.upstream.http import HttpEngine, HttpService

if TYPE_CHECKING:
    from beamhatch.edge.http import HttpClient
    from beamhatch.edge.upstream.api import Engine, Service


class Connector(ABC):
    """Makes the objects that speak with upstreams."""

    @abstractmethod
    def connect_engine(self, address: str) -> Engine:
        """Return the engine at an address."""

    @abstractmethod
    def connect_service(self, address: str) -> Service:
        """Return the service replica at an address."""


class HttpConnector(Connector):
    """Speaks HTTP with all upstreams."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    def connect_engine(self, address: str) -> Engine:
        """Return the engine at an address."""
        return HttpEngine(self._client, address)

    def connect_service(self, address: str) -> Service:
        """Return the service replica at an address."""
        return HttpService(self._client, address)
