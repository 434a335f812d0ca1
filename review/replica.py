"""One replica as a process of its own, so that a test can end it by a signal.

It answers part of the requests with neither a length nor chunks, and then ends the connection behind the last byte.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import random
import sys
import time
from pathlib import Path
from typing import TextIO

sys.path.insert(0, str(Path(__file__).resolve().parent))

from messages import Message, make_chunk, make_response, read_request

WORK_S = 0.06
"""Seconds of work on a plain request."""

PIECE_S = 0.02
"""Seconds between two pieces of an answer."""

PREFILL_TOKENS_PER_S = 55_555.0
BODY_BYTES = 800


def make_body(ident: str) -> bytes:
    """Return the whole answer to a plain request."""
    line = hashlib.sha256(ident.encode()).hexdigest()
    return (f"{ident} {line} " * (BODY_BYTES // (len(line) + len(ident) + 2) + 1)).encode()[:BODY_BYTES]


def make_event(ident: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {ident} {number}\n\n".encode()


class Replica:
    """A replica of a plain service, or a model replica."""

    def __init__(self, ident: str, phase: str, unframed_share: float, log: TextIO) -> None:
        self._ident = ident
        self._phase = phase
        self._unframed_share = unframed_share
        self._log = log
        self._numbers = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                if not await self._answer(request, writer):
                    writer.close()
                    await writer.wait_closed()
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.transport.abort()

    def _write_log(self, text: str) -> None:
        self._log.write(f"{time.monotonic()} {self._ident}: {text}\n")
        self._log.flush()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection goes on."""
        _, target, _ = request.start
        if request.headers.get("expect-instance", self._ident) != self._ident:
            writer.write(make_response(421, {"Instance-Id": self._ident}, b"{}"))
            return True
        if target.startswith("/api/"):
            self._numbers += 1
            writer.write(make_response(200, {}, json.dumps({"hold": f"{self._ident}-h{self._numbers}"}).encode()))
            return True
        ident = request.headers["request-id"]
        if not self._phase:
            await asyncio.sleep(WORK_S * random.uniform(0.5, 1.5))
            body = make_body(ident)
            return await self._send(ident, [body[: BODY_BYTES // 2], body[BODY_BYTES // 2 :]], writer, is_stream=False)
        prompt, events = (int(text) for text in request.headers["token-count"].split(","))
        if (request.headers.get("stage") == "prefill") != (self._phase == "prefill"):
            writer.write(make_response(421, {"Request-Id": ident, "Not-Executed": "1"}, b"{}"))
            return True
        if self._phase == "prefill":
            await asyncio.sleep(prompt / PREFILL_TOKENS_PER_S)
            self._numbers += 1
            value = {"kv_handle": f"{self._ident}-k{self._numbers}", "tokens": prompt, "version": 1}
            writer.write(make_response(200, {"Request-Id": ident}, json.dumps(value).encode()))
            return True
        pieces = [make_event(ident, number) for number in range(1, events + 1)]
        return await self._send(ident, pieces, writer, is_stream=True)

    async def _send(self, ident: str, pieces: list[bytes], writer: asyncio.StreamWriter, *, is_stream: bool) -> bool:
        """Send an answer in pieces; return whether the connection goes on."""
        unframed = random.random() < self._unframed_share
        kind = "text/event-stream" if is_stream else "text/plain"
        framing = "" if unframed else "Transfer-Encoding: chunked\r\n"
        head = f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nRequest-Id: {ident}\r\n"
        head += f"Response-Signature: {self._ident}.{ident}\r\nServer-Load: 1,0,128\r\n{framing}\r\n"
        self._write_log(f"runs {ident}, {'unframed' if unframed else 'chunked'}, {len(pieces)} pieces")
        writer.write(head.encode())
        for number, piece in enumerate(pieces, 1):
            writer.write(piece if unframed else make_chunk(piece))
            await writer.drain()
            if number < len(pieces):
                await asyncio.sleep(PIECE_S)
        if not unframed:
            writer.write(b"0\r\n\r\n")
        self._write_log(f"has answered {ident} whole")
        return not unframed


async def main() -> None:
    """Run the replica until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("ident")
    parser.add_argument("address")
    parser.add_argument("phase")
    parser.add_argument("unframed_share", type=float)
    parser.add_argument("log")
    arguments = parser.parse_args()
    host, _, port = arguments.address.partition(":")
    with Path(arguments.log).open("a") as log:
        replica = Replica(arguments.ident, arguments.phase.strip("-"), arguments.unframed_share, log)
        server = await asyncio.start_server(replica.serve, host, int(port))
        async with server:
            await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
