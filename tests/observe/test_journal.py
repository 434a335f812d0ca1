"""The log lines: bounded, never waited for."""

from __future__ import annotations

import json
import os

from beamhatch.observe.journal import MOST_AT_ONCE, MOST_WAITING, Journal, make_nonblocking
from tests.support.network import Network, PausedClock


def read_all(descriptor: int) -> bytes:
    text = b""
    while True:
        try:
            part = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return text
        text += part


def test_a_reader_that_stops_costs_lines_and_no_time() -> None:
    network = Network()
    reading, writing = os.pipe()
    make_nonblocking(writing)
    make_nonblocking(reading)
    journal = Journal(PausedClock(network), writing, vm="vm1")
    for number in range(20_000):
        journal.write("RELAY", "sent", request=f"q{number}", padding="x" * 200)
        if number % 100 == 0:
            network.advance(0.2)
    assert journal.left_out > 0
    text = b""
    for _ in range(200):
        text += read_all(reading)
        network.advance(0.1)
    journal.write("RELAY", "after")
    network.advance(0.1)
    text += read_all(reading)
    lines = [json.loads(line) for line in text.splitlines()]
    assert lines[-1]["event"] == "after"
    assert sum(line.get("lines_left_out", 0) for line in lines) == journal.left_out
    assert len(text) < MOST_WAITING * 40
    os.close(reading)
    os.close(writing)


def test_lines_are_bounded_in_number() -> None:
    network = Network()
    reading, writing = os.pipe()
    make_nonblocking(writing)
    journal = Journal(PausedClock(network), writing)
    for number in range(int(MOST_AT_ONCE) + 500):
        journal.write("RELAY", "sent", request=number)
    assert journal.left_out == 500
    os.close(reading)
    os.close(writing)
