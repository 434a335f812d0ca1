"""TLS from files; the files are read again when they change, so that a rotation needs no stop."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from beamhatch.settings.schema import Tls


class ReloadingContext:
    """Makes the context of each new connection, from the newest files."""

    def __init__(self, tls: Tls) -> None:
        self._tls = tls
        self._stamp: tuple[int, ...] = ()
        self._context: Any = None

    def getContext(self) -> Any:
        """Return the context, made anew where a file has changed."""
        files = [self._tls.certificate, self._tls.key, self._tls.authorities]
        stamp = tuple(Path(file).stat().st_mtime_ns for file in files if file)
        if stamp != self._stamp:
            self._context = _make_context(self._tls)
            self._stamp = stamp
        return self._context


def make_server_context(tls: Tls) -> ReloadingContext:
    """Return a context factory for a listening port."""
    context = ReloadingContext(tls)
    context.getContext()
    return context


def make_client_context(tls: Tls) -> ReloadingContext:
    """Return a context factory for streams that this VM dials."""
    return make_server_context(tls)


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
