"""TLS from files; the files are read again when they change, so that a rotation needs no stop."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IOpenSSLClientConnectionCreator, IOpenSSLServerConnectionCreator
from zope.interface import implementer

if TYPE_CHECKING:
    from beamhatch.settings.schema import Tls


@implementer(IOpenSSLServerConnectionCreator, IOpenSSLClientConnectionCreator)
class ReloadingContext:
    """Makes the connection of each new stream, from the newest files."""

    def __init__(self, tls: Tls) -> None:
        self._tls = tls
        self._stamp: tuple[int, ...] = ()
        self._context: Any = None

    def serverConnectionForTLS(self, protocol: Any) -> Any:  # noqa: N802 - the library's name
        """Return the TLS state of a stream that was accepted."""
        return self._connect()

    def clientConnectionForTLS(self, protocol: Any) -> Any:  # noqa: N802 - the library's name
        """Return the TLS state of a stream that was dialled."""
        return self._connect()

    def _connect(self) -> Any:
        from OpenSSL import SSL

        return SSL.Connection(self.load(), None)

    def load(self) -> Any:
        """Return the context, made anew where a file has changed."""
        files = [self._tls.certificate, self._tls.key, self._tls.authorities]
        stamp = tuple(Path(file).stat().st_mtime_ns for file in files if file)
        if stamp != self._stamp:
            self._context = _make_context(self._tls)
            self._stamp = stamp
        return self._context


def make_context(tls: Tls) -> ReloadingContext:
    """Return what makes the TLS state of streams; the files are read once now, so that a bad one shows at the start."""
    context = ReloadingContext(tls)
    context.load()
    return context


def _make_context(tls: Tls) -> Any:
    from OpenSSL import SSL

    context = SSL.Context(SSL.TLS_METHOD)
    context.set_min_proto_version(SSL.TLS1_2_VERSION)
    context.use_certificate_chain_file(tls.certificate)
    context.use_privatekey_file(tls.key)
    if tls.authorities is not None:
        context.load_verify_locations(tls.authorities)
        context.set_verify(SSL.VERIFY_PEER | SSL.VERIFY_FAIL_IF_NO_PEER_CERT, lambda *arguments: bool(arguments[-1]))
    return context
