"""A short run of the soak, with real processes; and checks that have to see what they are there for."""

from __future__ import annotations

import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from beamhatch.platform.standin.upstream import Ledger, Order
from beamhatch.relay.requests.refusal import QUARANTINE_REASON
from tests.soak.caller import Outcome
from tests.soak.long_streams import Batch, LongStream, list_lost
from tests.soak.net import NETS, Net
from tests.soak.promise import COLD_BOUND, Promise
from tests.soak.schedule import draw_steps
from tests.soak.witness import Asked, RouteTerms, UpstreamFacts, VmFacts, Witness

if TYPE_CHECKING:
    from pathlib import Path

ROUTES = {
    "/safe/": RouteTerms(),
    "/unsafe/": RouteTerms(repeatable=False),
    "/stream/": RouteTerms(streams=True, repeatable=False),
    "/west/": RouteTerms(regions=frozenset({"west"})),
}
SIGNED = {"request-id": "q1", "response-signature": "i-1.q1"}


@pytest.fixture
def witness() -> Witness:
    made = Witness(Ledger(), ROUTES)
    made.vms["vm0"] = VmFacts(life=1)
    made.upstreams["i-1"] = UpstreamFacts("east-a", "east")
    made.acknowledged.update({1: 0.0, 2: 5.0})
    return made


def ask(witness: Witness, route: str, sent_at: float = 20.0, request: str = "q1") -> None:
    witness.asked[request] = Asked(route, "vm0", 1, sent_at)


def list_broken(witness: Witness) -> set[Promise]:
    return {breach.promise for breach in witness.breaches}


def make_outcome(route: str, status: int, headers: dict[str, str], body: bytes, *, whole: bool = True) -> Outcome:
    return Outcome("q1", route, f"{route}x", "vm0", 1, 20.0, 21.0, status, headers, body, whole)


def make_events(*numbers: int, software: str = "v1") -> bytes:
    version = software.encode()
    return b"".join(b"id: %d\ndata: %b/q1-%d\n\n" % (number, version, number) for number in numbers)


def test_requests_are_served_while_most_new_connections_go_to_one_vm(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "tests.soak.skew", "--vms", "3", "--rate", "30", "--factor", "1.5"]
    done = subprocess.run([*command, "--logs", str(tmp_path)], capture_output=True, text=True, timeout=110)
    assert done.returncode == 0, done.stdout + done.stderr


def test_a_run_keeps_all_promises(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "tests.soak", "--seed", "7", "--seconds", "6", "--vms", "3"]
    done = subprocess.run([*command, "--logs", str(tmp_path)], capture_output=True, text=True, timeout=110)
    assert done.returncode == 0, done.stdout + done.stderr


def test_upstreams_pause_and_requests_are_not_broken_off(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "tests.soak", "--seed", "1", "--seconds", "5", "--vms", "2"]
    faults = ["--fault", "upstreams_pause", "--fault", "configure"]
    done = subprocess.run([*command, *faults, "--logs", str(tmp_path)], capture_output=True, text=True, timeout=110)
    assert done.returncode == 0, done.stdout + done.stderr


@pytest.mark.parametrize("is_prefill", [False, True])
def test_a_request_that_reaches_an_upstream_behind_its_refusal_is_seen_unless_its_prompt_is_read(
    witness: Witness, is_prefill: bool
) -> None:
    ask(witness, "/stream/")
    witness.take_outcome(make_outcome("/stream/", 503, {}, b""))
    witness.take_arrival("q1", "/stream/x", "i-1", 21.1, is_prefill=is_prefill)
    assert list_broken(witness) == (set() if is_prefill else {Promise.NOT_RUN})


def test_requests_that_were_refused_run_as_upstreams_repeat_rejections_at_the_rates_of_an_order_desk(
    tmp_path: Path,
) -> None:
    command = [sys.executable, "-m", "tests.soak", "--seed", "2", "--seconds", "8", "--vms", "8", "--desk"]
    faults = ["--fault", "late_rejections"]
    done = subprocess.run([*command, *faults, "--logs", str(tmp_path)], capture_output=True, text=True, timeout=110)
    assert done.returncode == 0, done.stdout + done.stderr


def test_requests_run_once_as_routes_change(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "tests.soak", "--seed", "4", "--seconds", "8", "--vms", "2"]
    faults = ["--fault", "routes", "--fault", "upstream_fault"]
    done = subprocess.run([*command, *faults, "--logs", str(tmp_path)], capture_output=True, text=True, timeout=110)
    assert done.returncode == 0, done.stdout + done.stderr


def test_streams_go_on_at_another_version_as_all_relays_are_killed_beside_a_rollout(tmp_path: Path) -> None:
    command = [sys.executable, "-m", "tests.soak", "--seed", "55", "--seconds", "8", "--vms", "3"]
    faults = ["--fault", "rollout"]
    done = subprocess.run([*command, *faults, "--logs", str(tmp_path)], capture_output=True, text=True, timeout=110)
    assert done.returncode == 0, done.stdout + done.stderr


@pytest.mark.parametrize(("went_on", "lost"), [(8, False), (7, True)])
def test_streams_that_do_not_go_on_though_their_version_serves_are_counted(went_on: int, lost: bool) -> None:
    batch = Batch(kept={"v1"})
    batch.streams = [LongStream(began_as=f"q{number}", broke=True, complete=number < went_on) for number in range(16)]
    gone = [LongStream(began_as="gone", broke=True) for _ in range(16)]
    assert bool(list_lost([batch], lambda request: {"v1"})) is lost
    assert not list_lost([Batch(gone, {"v2"})], lambda request: {"v1"})


@pytest.mark.parametrize(
    ("sent_at", "arrived_at", "in_touch", "must"),
    [
        (19.9, 19.95, True, True),
        (19.9, 20.05, True, False),
        (20.1, 20.2, True, False),
        (22.0, 22.1, True, False),
        (24.9, 25.0, True, True),
        (24.9, 25.0, False, False),
    ],
)
def test_requests_must_run_once_unless_a_version_that_may_have_admitted_them_lets_them_run_again(
    witness: Witness, sent_at: float, arrived_at: float, in_touch: bool, must: bool
) -> None:
    for at, repeatable in ((0.0, frozenset[str]()), (20.0, frozenset({"/a/"})), (21.5, frozenset[str]())):
        witness.repeats.record(at, repeatable)
    assert witness.repeats.must_run_once("/a/", sent_at, arrived_at, in_touch=in_touch) is must
    assert witness.repeats.must_run_once("/b/", sent_at, arrived_at, in_touch=in_touch)


def test_a_request_that_runs_twice_as_its_route_changes_is_seen(witness: Witness) -> None:
    witness.routes = {"/a/": RouteTerms(changes=True)}
    for at, repeatable in ((0.0, frozenset[str]()), (20.5, frozenset({"/a/"}))):
        witness.repeats.record(at, repeatable)
    for request, sent_at in (("q1", 20.0), ("q2", 20.6)):
        ask(witness, "/a/", sent_at, request)
        witness.take_arrival(request, "/a/x", "i-1", sent_at + 0.1)
        witness.ledger.runs[request] = 2
    witness.check_all_runs(30.0)
    assert [breach.detail for breach in witness.breaches] == ["q1 ran 2 times"]


def test_the_same_seed_draws_the_same_faults() -> None:
    assert draw_steps(5, 30.0) == draw_steps(5, 30.0)
    assert draw_steps(5, 30.0) != draw_steps(6, 30.0)


def test_whole_answers_break_nothing(witness: Witness) -> None:
    ask(witness, "/stream/")
    witness.ledger.runs["q1"] = 1
    witness.take_outcome(make_outcome("/stream/", 200, SIGNED, make_events(*range(1, 11))))
    assert not witness.breaches


@pytest.mark.parametrize(
    ("route", "runs", "status", "headers", "body", "promise"),
    [
        ("/unsafe/", 2, 200, SIGNED, b"POST /unsafe/x q1", Promise.ONCE),
        ("/unsafe/", 1, 503, {}, b"", Promise.NOT_RUN),
        ("/safe/", 1, 200, {"request-id": "q1"}, b"GET /safe/x q1", Promise.OWN_ANSWER),
        ("/safe/", 1, 200, SIGNED, b"GET /safe/x q2", Promise.OWN_ANSWER),
        ("/stream/", 1, 200, SIGNED, make_events(1, 2, 4), Promise.ORDER),
        ("/stream/", 1, 200, SIGNED, make_events(1, 2, 3), Promise.ORDER),
    ],
)
def test_a_wrong_outcome_is_seen(
    witness: Witness, route: str, runs: int, status: int, headers: dict[str, str], body: bytes, promise: Promise
) -> None:
    ask(witness, route)
    witness.ledger.runs["q1"] = runs
    witness.take_outcome(make_outcome(route, status, headers, body))
    assert promise in list_broken(witness)


def make_broken(status: int) -> Outcome:
    """Return the outcome of a stream that ended 1 s behind its request, with three of its events or none."""
    body = make_events(1, 2, 3) if status == 200 else b""
    return make_outcome("/stream/", status, SIGNED if status == 200 else {}, body, whole=status != 200)


@pytest.mark.parametrize("status", [200, 502, 504])
@pytest.mark.parametrize("excuse", ["", "crash", "fault", "left", "late", "not reached", "disturbed", "another start"])
def test_a_request_that_is_broken_off_while_its_upstream_is_only_silent_is_seen(
    witness: Witness, status: int, excuse: str
) -> None:
    ask(witness, "/stream/")
    outcome = make_broken(status)
    witness.reached["q1"] = {"i-1"}
    witness.harms.begin("i-2", 20.5)
    if excuse == "crash":
        witness.harms.begin("i-1", 20.9)
    if excuse == "fault":
        witness.harms.begin("i-1", 19.0)
    if excuse == "not reached":
        witness.reached.clear()
    if excuse == "disturbed":
        witness.vms["vm0"].calm.begin()
    if excuse == "another start":
        witness.vms["vm0"].life = 2
    outcome.left = excuse == "left"
    outcome.ended_at = 25.9 if excuse == "late" else 21.0
    witness.take_outcome(outcome)
    assert list_broken(witness) == (set() if excuse else {Promise.UNBROKEN})


def test_a_fault_that_is_over_is_no_excuse(witness: Witness) -> None:
    witness.harms.begin("i-1", 10.0)
    witness.harms.end("i-1", 15.0)
    assert not witness.harms.overlap("i-1", 20.0, 21.0)
    assert witness.harms.overlap("i-1", 15.1, 21.0)
    assert witness.harms.overlap("i-1", 9.0, 10.0)


def test_arrivals_where_nothing_may_arrive_are_seen(witness: Witness) -> None:
    ask(witness, "/west/")
    witness.emptied["east-a"] = 10.0
    witness.upstreams["i-1"].leaves_at = 10.0
    witness.take_arrival("q1", "/west/x", "i-1", 20.0)
    assert list_broken(witness) == {Promise.REGION, Promise.EMPTIED, Promise.LEAVING}


def test_a_vm_that_was_disturbed_is_not_held_to_bounds_of_time(witness: Witness) -> None:
    ask(witness, "/safe/")
    witness.emptied["east-a"] = 10.0
    witness.vms["vm0"].calm.begin()
    witness.vms["vm0"].calm.end(18.0)
    witness.take_arrival("q1", "/safe/x", "i-1", 20.0)
    assert not witness.breaches


def test_too_much_at_a_cold_upstream_is_seen(witness: Witness) -> None:
    ask(witness, "/safe/")
    witness.upstreams["i-1"].cold_until = 30.0
    for number in range(int(COLD_BOUND)):
        witness.take_arrival("q1", "/safe/x", "i-1", 20.0 + number / 100)
    assert not witness.breaches
    witness.take_arrival("q1", "/safe/x", "i-1", 20.9)
    assert list_broken(witness) == {Promise.COLD}


def test_a_deadly_request_that_arrives_too_often_too_late_is_seen(witness: Witness) -> None:
    ask(witness, "/safe/")
    for at in (20.0, 20.5, 21.0):
        witness.take_crash("/safe/deadly", at)
    for at in (23.9, 24.1, 24.2, 24.3):
        witness.take_arrival("q1", "/safe/deadly", "i-1", at)
    assert not witness.breaches
    witness.take_arrival("q1", "/safe/other", "i-1", 24.4)
    assert not witness.breaches
    witness.take_arrival("q1", "/safe/deadly", "i-1", 24.5)
    assert list_broken(witness) == {Promise.DEADLY}


def test_requests_with_a_deadly_part_that_arrive_too_often_too_late_are_seen(witness: Witness) -> None:
    ask(witness, "/safe/")
    for number in range(10):
        witness.deadly_parts[f"/stream/dead-{number}"] = "dead"
    for at in (20.0, 20.5, 21.0, 21.1, 21.2):
        witness.take_crash("dead", at)
    for number, at in enumerate((24.1, 24.25, 24.3, 24.4)):
        witness.take_arrival("q1", f"/stream/dead-{number}", "i-1", at)
    assert not witness.breaches
    witness.take_arrival("q1", "/stream/dead-9", "i-1", 24.5)
    assert list_broken(witness) == {Promise.DEADLY}


def test_what_reaches_an_upstream_that_told_the_vm_that_it_leaves_is_seen(witness: Witness) -> None:
    ask(witness, "/safe/")
    witness.take_outcome(make_outcome("/safe/", 200, {**SIGNED, "server-leaving": "1"}, b"GET /safe/x q1"))  # at 21 s
    ask(witness, "/safe/", 22.9, "q2")
    witness.take_arrival("q2", "/safe/x", "i-1", 23.1)
    assert not witness.breaches
    ask(witness, "/safe/", 23.1, "q3")
    witness.take_arrival("q3", "/safe/x", "i-1", 23.2)
    assert list_broken(witness) == {Promise.LEAVING}


@pytest.mark.parametrize("excuse", ["", "another start", "disturbed"])
def test_a_rest_that_is_broken_is_seen(witness: Witness, excuse: str) -> None:
    ask(witness, "/safe/")
    witness.take_rest("q1", "i-1", 4.0, 20.0)
    if excuse == "another start":
        witness.asked["q1"] = Asked("/safe/", "vm0", 2, 20.0)
    if excuse == "disturbed":
        witness.vms["vm0"].calm.begin()
        witness.vms["vm0"].calm.end(20.1)
    for at in (20.1, 20.4, 20.6, 23.9):
        witness.take_arrival("q1", "/safe/x", "i-1", at)
    assert not witness.breaches
    witness.take_arrival("q1", "/safe/x", "i-1", 24.0)
    assert list_broken(witness) == (set() if excuse else {Promise.RESTING})
    witness.take_arrival("q1", "/safe/x", "i-1", 24.1)
    assert len(witness.breaches) == (0 if excuse else 1)


@pytest.mark.parametrize("excuse", ["", "another start", "disturbed", "not told", "a limit that is over"])
def test_what_an_upstream_gets_beyond_its_limit_is_seen(witness: Witness, excuse: str) -> None:
    ask(witness, "/safe/")
    witness.limits.name("i-1", 1.0, 10.0)
    if excuse != "not told":
        headers = {**SIGNED, "server-limit": "1"}
        witness.take_outcome(make_outcome("/safe/", 200, headers, b"GET /safe/x q1"))  # at 21 s
    if excuse == "another start":
        witness.asked["q1"] = Asked("/safe/", "vm0", 2, 20.0)
    if excuse == "disturbed":
        witness.vms["vm0"].calm.begin()
        witness.vms["vm0"].calm.end(21.1)
    if excuse == "a limit that is over":
        witness.limits.name("i-1", None, 21.2)
    for number in range(14):
        witness.take_arrival("q1", "/safe/x", "i-1", 21.2 + number / 10)  # 11 of them count
    assert not witness.breaches
    witness.take_arrival("q1", "/safe/x", "i-1", 25.6)
    assert not witness.breaches
    for number in range(11):
        witness.take_arrival("q1", "/safe/x", "i-1", 25.7 + number / 10)
    assert list_broken(witness) == (set() if excuse else {Promise.LIMITED})


@pytest.mark.parametrize("is_named", [False, True])
def test_a_lower_limit_counts_once_an_answer_has_named_it(witness: Witness, is_named: bool) -> None:
    ask(witness, "/safe/")
    witness.limits.name("i-1", 8.0, 10.0)
    witness.take_outcome(make_outcome("/safe/", 200, {**SIGNED, "server-limit": "8"}, b"GET /safe/x q1"))
    witness.limits.name("i-1", 0.5, 21.1)
    if is_named:
        answer = make_outcome("/safe/", 200, {**SIGNED, "server-limit": "0.5"}, b"GET /safe/x q1")
        answer.ended_at = 21.2
        witness.take_outcome(answer)
    for number in range(20):
        witness.take_arrival("q1", "/safe/x", "i-1", 26.0 + number / 10)
    assert list_broken(witness) == ({Promise.LIMITED} if is_named else set())


def test_an_innocent_request_that_is_kept_away_is_seen(witness: Witness) -> None:
    body = b'{"error": "' + QUARANTINE_REASON.encode() + b', fingerprint 00"}'
    witness.ledger.crash_inducing.add("/safe/x")
    witness.take_outcome(make_outcome("/safe/", 503, {}, body))
    assert not witness.breaches
    witness.ledger.crash_inducing.clear()
    witness.take_outcome(make_outcome("/safe/", 503, {}, body))
    assert list_broken(witness) == {Promise.INNOCENT}


def test_an_old_version_is_seen(witness: Witness) -> None:
    ask(witness, "/v1/")
    witness.take_arrival("q1", "/v1/x", "i-1", 20.0)
    assert list_broken(witness) == {Promise.IN_FORCE}
    ask(witness, "/v1/", request="q2")
    witness.vms["vm0"].seen[2] = 10.0
    witness.take_arrival("q2", "/v1/x", "i-1", 20.1)
    assert Promise.NO_STEP_BACK in list_broken(witness)


def test_two_holders_of_orders_are_seen(witness: Witness) -> None:
    witness.vms["vm1"] = VmFacts()
    witness.ledger.orders += [Order(100.0, "vm0", 5, "decode"), Order(101.0, "vm1", 6, "decode")]
    witness.check_orders(0.0)
    assert list_broken(witness) == {Promise.ONE_LEADER}


def test_two_runs_at_once_have_addresses_of_their_own() -> None:
    first, second = Net(40), Net(40 + NETS)  # one network by their seeds
    assert first.prefix != second.prefix
    wanted = second.prefix
    second.give_back()
    third = Net(40)
    assert third.prefix == wanted
    for net in (first, third):
        net.give_back()


def test_the_witness_sees_a_stream_of_two_versions_in_one_answer_and_over_tries(witness: Witness) -> None:
    witness.take_outcome(make_outcome("/stream/", 200, SIGNED, make_events(1), whole=False))
    assert not list_broken(witness)
    body = make_events(1) + make_events(2, software="v2")
    witness.take_outcome(make_outcome("/stream/", 200, SIGNED, body, whole=False))
    assert list_broken(witness) == {Promise.VERSION}
    witness.breaches.clear()
    again = Outcome(
        "q2", "/stream/", "/stream/x", "vm0", 1, 22.0, 23.0, 200, {"request-id": "q2"}, b"id: 2\ndata: v2/q2-2\n\n"
    )
    again.headers["response-signature"] = "i-1.q2"
    again.began_as, again.last_event = "q1", 1
    witness.versions["q1"] = {"v1"}
    witness.take_outcome(again)
    assert list_broken(witness) == {Promise.VERSION}
