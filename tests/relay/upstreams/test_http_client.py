"""Reuse of connections, and handling of invalid responses."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
from twisted.internet.protocol import Factory, Protocol

from beamhatch.relay.model import Address
from beamhatch.relay.tunnels.api import Dialer, allow_any_hall
from beamhatch.relay.upstreams.call import Call, CallFailure, ResponseHead, ResponseSink
from beamhatch.relay.upstreams.connection import Correlation
from beamhatch.relay.upstreams.http_client import HttpClient
from tests.support.network import Network, PausedClock

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamhatch.relay.tunnels.api import DialReceiver, HallFilter, Via

ADDRESS = Address("up", 1)
WHOLE = b"HTTP/1.1 200 OK\r\nRequest-Id: q\r\nContent-Length: 2\r\n\r\nok"
UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: q\r\n\r\nok"
REFUSED = b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nRequest-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: y\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + WHOLE
FOREIGN = b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 3\r\n\r\nbad"


class RawServer(Protocol):
    """Server that runs the next action of a script for each received piece of data."""

    def __init__(self, script: list[Callable[[Any], None]]) -> None:
        self.script = script

    def dataReceived(self, data: bytes) -> None:
        if self.script:
            self.script.pop(0)(self.transport)


class RawFactory(Factory):
    def __init__(self, script: list[Callable[[Any], None]]) -> None:
        self.script = script
        self.connections = 0

    def buildProtocol(self, _: Any) -> RawServer:
        self.connections += 1
        return RawServer(self.script)


class RecordingSink(ResponseSink):
    def __init__(self) -> None:
        self.body = b""
        self.outcome: str | CallFailure = ""
        self.sent = False

    def handle_sent(self, via: Via | None) -> None:
        self.sent = True

    def matches(self, head: ResponseHead) -> bool:
        return ("request-id", "other") not in head.headers

    def handle_head(self, head: ResponseHead) -> None:
        assert head.status == 200

    def handle_data(self, data: bytes) -> None:
        self.body += data

    def handle_end(self) -> None:
        self.outcome = "whole"

    def handle_failure(self, failure: CallFailure, detail: str) -> None:
        self.outcome = failure


class ClientBench:
    def __init__(self, *script: Callable[[Any], None]) -> None:
        self.network = Network()
        clock = PausedClock(self.network)
        self.server = RawFactory(list(script))
        self.network.listenTCP(1, self.server, interface="up")
        self.client = HttpClient(clock)
        self.client.start()

    def ask(self, **options: Any) -> RecordingSink:
        sink = RecordingSink()
        self.client.open(ADDRESS, Call("GET", "/", [("Host", "up")]), sink, **options)
        self.network.run(0.05)
        return sink


def write(data: bytes) -> Callable[[Any], None]:
    return lambda transport: transport.write(data)


def write_then_close(data: bytes) -> Callable[[Any], None]:
    def act(transport: Any) -> None:
        transport.write(data)
        transport.loseConnection()

    return act


def write_then_reset(data: bytes) -> Callable[[Any], None]:
    def act(transport: Any) -> None:
        transport.write(data)
        transport.abortConnection()

    return act


def test_keeps_a_connection_for_the_next_call() -> None:
    bench = ClientBench(write(WHOLE), write(WHOLE))
    assert bench.ask().outcome == "whole"
    assert bench.ask().outcome == "whole"
    assert bench.server.connections == 1


class RepeatingServer(Protocol):
    """Server that refuses calls without ID, each a second time in the place of the next response."""

    def __init__(self) -> None:
        self._late = b""

    def dataReceived(self, data: bytes) -> None:
        late, self._late = self._late, b""
        if b"Request-Id: q" in data:
            self.transport.write(late + WHOLE)
        else:
            self.transport.write(late + REFUSED)
            self._late = REFUSED


class StatusSink(RecordingSink):
    def __init__(self) -> None:
        super().__init__()
        self.status = 0

    def handle_head(self, head: ResponseHead) -> None:
        self.status = head.status


def test_a_second_refusal_of_a_call_without_id_is_not_taken_for_the_response_to_a_request() -> None:
    network = Network()
    network.listenTCP(1, Factory.forProtocol(RepeatingServer), interface="up")
    client = HttpClient(PausedClock(network))
    sinks = [StatusSink() for _ in range(4)]
    for sink, correlation in zip(sinks, [None, Correlation(), None, Correlation()], strict=True):
        headers = [("Host", "up"), *([("Request-Id", "q")] if correlation is not None else [])]
        client.open(ADDRESS, Call("GET", "/", headers), sink, correlation=correlation)
        network.run(0.05)
    assert [sink.status for sink in sinks] == [503, 200, 503, 200]
    assert client.opened_count == 2


def test_max_idle_time_prevents_reuse() -> None:
    bench = ClientBench(write(WHOLE), write(WHOLE))
    bench.ask()
    bench.network.run(1.5)
    assert bench.ask(max_idle_s=1.0).outcome == "whole"
    assert bench.server.connections == 2


def test_an_idle_connection_is_closed_before_the_other_side_closes_it() -> None:
    bench = ClientBench(write(WHOLE.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=3\r\n\r\n")))
    bench.ask()
    assert len(bench.client.list_open(ADDRESS, None)) == 1
    bench.network.run(3.0)
    assert len(bench.client.list_open(ADDRESS, None)) == 0


def test_bytes_after_a_complete_response_close_the_connection() -> None:
    bench = ClientBench(write(WHOLE + WHOLE), write(WHOLE))
    assert bench.ask().body == b"ok"
    assert bench.ask().body == b"ok"
    assert bench.server.connections == 2


def test_bytes_on_an_idle_connection_close_it() -> None:
    bench = ClientBench(write(WHOLE))
    bench.ask()
    connection = next(iter(bench.client._idle[ADDRESS]))
    connection.transport.other.write(FOREIGN)
    bench.network.run(0.05)
    assert len(bench.client.list_open(ADDRESS, None)) == 0


def test_response_to_another_request_is_skipped() -> None:
    assert ClientBench(write(FOREIGN + WHOLE)).ask().body == b"ok"
    assert ClientBench(write_then_close(FOREIGN)).ask().outcome is CallFailure.BROKEN


@pytest.mark.parametrize("cut", range(1, len(WHOLE), 7))
def test_truncated_response_is_broken(cut: int) -> None:
    assert ClientBench(write_then_close(WHOLE[:cut])).ask().outcome is CallFailure.BROKEN
    assert ClientBench(write_then_reset(WHOLE[:cut])).ask().outcome is CallFailure.BROKEN


@pytest.mark.parametrize("whole", [CHUNKED, INTERIM, FOREIGN + WHOLE], ids=["chunked", "interim", "behind another"])
def test_a_response_that_was_cut_at_any_byte_is_broken(whole: bytes) -> None:
    assert ClientBench(write_then_close(whole)).ask().body == b"ok"
    for cut in range(1, len(whole)):
        assert ClientBench(write_then_close(whole[:cut])).ask().outcome is CallFailure.BROKEN
        assert ClientBench(write_then_reset(whole[:cut])).ask().outcome is CallFailure.BROKEN


@pytest.mark.parametrize("cut", range(1, len(UNFRAMED) - 1))
def test_a_response_without_length_that_was_cut_in_its_head_is_broken(cut: int) -> None:
    outcome = ClientBench(write_then_close(UNFRAMED[:cut])).ask().outcome
    assert outcome == ("whole" if cut >= UNFRAMED.index(b"\r\n\r\n") + 4 else CallFailure.BROKEN)


def test_response_without_length_is_complete_only_after_a_clean_close() -> None:
    assert ClientBench(write_then_close(UNFRAMED)).ask().outcome == "whole"
    assert ClientBench(write_then_reset(UNFRAMED)).ask().outcome is CallFailure.BROKEN


def test_invalid_response_is_malformed() -> None:
    assert ClientBench(write(b"\x00\x01nonsense\r\n\r\n")).ask().outcome is CallFailure.MALFORMED


def test_refused_connection_is_unreached() -> None:
    bench = ClientBench()
    sink = RecordingSink()
    bench.client.open(Address("nowhere", 1), Call("GET", "/", [("Host", "up")]), sink)
    bench.network.run(1.0)
    assert sink.outcome is CallFailure.UNREACHED
    assert not sink.sent


def test_connecting_to_an_unresponsive_host_times_out() -> None:
    bench = ClientBench(write(WHOLE))
    bench.network.cut("up")
    sink = bench.ask()
    bench.network.run(0.6)
    assert sink.outcome is CallFailure.UNREACHED


class RefusingDialer(Dialer):
    """Fails each dial, and takes direct connections for proven for a second."""

    def connect(
        self, address: Address, receiver: DialReceiver, timeout: float, may_pass: HallFilter = allow_any_hall
    ) -> None:
        receiver.handle_failure("no way")

    def get_max_idle_s(self, address: Address) -> float:
        return 1.0


def test_an_idle_connection_is_the_last_resort_where_no_other_can_be_opened() -> None:
    bench = ClientBench(write(WHOLE), write(WHOLE))
    assert bench.ask().outcome == "whole"
    bench.client._dialer = RefusingDialer()
    bench.network.run(2.0)
    assert bench.ask(max_idle_s=1.0).outcome is CallFailure.UNREACHED
    assert bench.ask().outcome == "whole"
    assert bench.server.connections == 1


def test_a_call_is_sent_on_a_connection_that_may_bring_a_second_response_with_its_id() -> None:
    bench = ClientBench(*[write(WHOLE)] * 4)
    correlation = Correlation()
    bench.ask(correlation=correlation)
    bench.ask(correlation=correlation)
    assert bench.server.connections == 2
    assert len(bench.client.list_open(ADDRESS, None)) == 1
    bench.ask(correlation=Correlation())
    assert bench.server.connections == 2
