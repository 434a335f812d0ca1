"""Server connections whose responses to requests have neither a length nor chunks, and end with the connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.callers.http_server import CallerConnection, CallerServer

if TYPE_CHECKING:
    from typing import Any

    from beamhatch.relay.api import Headers


class UnframedConnection(CallerConnection):
    """Connection that sends bodies without framing if its server says so."""

    def __init__(self, server: UnframedServer) -> None:
        super().__init__(server)
        self._owner = server
        self._unframed = False

    def write_head(self, status: int, headers: Headers) -> None:
        """Write the head, without a length if it is a response to a request, and the server says so."""
        self._unframed = self._owner.unframed and any(name == "Response-Signature" for name, _ in headers)
        if not self._unframed:
            super().write_head(status, headers)
            return
        lines = [f"{name}: {value}" for name, value in headers if name.lower() != "content-length"]
        self.transport.write("\r\n".join([f"HTTP/1.1 {status} Unframed", *lines, "", ""]).encode("latin-1"))

    def write_data(self, data: bytes) -> None:
        """Write body data."""
        if self._unframed:
            self.transport.write(data)
        else:
            super().write_data(data)

    def write_end(self, data: bytes) -> None:
        """Write the rest of the body, and close the connection if that marks the end."""
        if self._unframed:
            self.transport.write(data)
            self.transport.loseConnection()
        else:
            super().write_end(data)


class UnframedServer(CallerServer):
    """Server whose responses may lack framing."""

    unframed = False

    def buildProtocol(self, _: Any) -> UnframedConnection:
        """Create the protocol of a new connection."""
        return UnframedConnection(self)
