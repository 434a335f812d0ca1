"""One msgpack stream between two entry VMs: bounded, and closed at the first frame that is not a message."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgpack
import msgspec
from twisted.internet.protocol import Protocol, connectionDone

from beamhatch.edge.peer.message import PROTOCOL, Hello, convert_message, encode_message
from beamhatch.observe.log import Part, get_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from beamhatch.edge.peer.message import Message
    from beamhatch.observe.metrics import Metrics

MAX_BUFFER = 8 * 1024 * 1024
"""Bytes of one message at the most."""
MAX_UNSENT = 16 * 1024 * 1024
"""Bytes that may wait for a slow peer before the stream is closed."""


class PeerStream(Protocol):
    """Sends and takes messages."""

    def __init__(
        self,
        hello: Callable[[], Hello],
        take_hello: Callable[[PeerStream, Hello], None],
        take: Callable[[PeerStream, Message], None],
        lose: Callable[[PeerStream], None],
        metrics: Metrics,
    ) -> None:
        self.peer: Hello | None = None
        self._hello = hello
        self._take_hello = take_hello
        self._take = take
        self._lose = lose
        self._metrics = metrics
        self._unpacker = msgpack.Unpacker(raw=False, strict_map_key=False, max_buffer_size=MAX_BUFFER)
        self._open = False
        self._unsent = 0
        self._log = get_log(Part.PEER)

    def connectionMade(self) -> None:
        """Introduce this VM."""
        self._open = True
        set_no_delay = getattr(self.transport, "setTcpNoDelay", None)
        if set_no_delay is not None:
            set_no_delay(True)
        self.transport.registerProducer(self, True)
        self.send(self._hello())

    def send(self, message: Message) -> bool:
        """Send a message; return False where the stream is closed or the peer does not read."""
        if not self._open or self.transport is None:
            return False
        data = encode_message(message)
        if self._paused:
            self._unsent += len(data)
            if self._unsent > MAX_UNSENT:
                self.close()
                return False
        self._metrics.peer_bytes.labels("out").inc(len(data))
        self.transport.write(data)
        return True

    def dataReceived(self, data: bytes) -> None:
        """Take the messages in a piece of the stream."""
        self._metrics.peer_bytes.labels("in").inc(len(data))
        try:
            self._unpacker.feed(data)
            for value in self._unpacker:
                if not self._open:
                    return
                self._take_value(value)
        except (msgspec.MsgspecError, msgpack.UnpackException, ValueError) as error:
            self._reject(str(error)[:100])

    def _take_value(self, value: Any) -> None:
        message = convert_message(value)
        if self.peer is not None:
            self._take(self, message)
        elif isinstance(message, Hello) and message.protocol == PROTOCOL and self._is_certified(message):
            self.peer = message
            self._take_hello(self, message)
        else:
            self._reject("the first message is no valid hello")

    def _is_certified(self, hello: Hello) -> bool:
        """Tell whether a peer is the one that its certificate names; without TLS there is none to ask."""
        get_certificate = getattr(self.transport, "getPeerCertificate", None)
        if get_certificate is None:
            return True
        certificate = get_certificate()
        return certificate is not None and hello.vm == certificate.get_subject().CN

    def _reject(self, why: str) -> None:
        self._metrics.peer_errors.inc()
        self._log.warning(
            "A peer's stream is closed for a bad frame.", why=why, peer=self.peer.vm if self.peer else None
        )
        self.close()

    def close(self) -> None:
        """Close the stream at once."""
        self._open = False
        abort = getattr(self.transport, "abortConnection", None)
        if abort is not None:
            abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the owner that the stream is gone."""
        self._open = False
        self._lose(self)

    _paused = False

    def pauseProducing(self) -> None:
        """Note that the peer does not read."""
        self._paused = True

    def resumeProducing(self) -> None:
        """Note that the peer reads again."""
        self._paused = False
        self._unsent = 0

    def stopProducing(self) -> None:
        """Note nothing; the loss of the connection is told otherwise."""
