"""Run the router with stand-ins for the platform in one process, to try it locally."""

from __future__ import annotations

import signal
from typing import Any

from beamhatch.clock import Clock
from beamhatch.observe.journal import Journal
from beamhatch.observe.tally import Tally
from beamhatch.platform.dialect import PlatformDialect
from beamhatch.platform.documents import PlatformDocuments
from beamhatch.platform.standin.store import StandInStore
from beamhatch.platform.standin.upstream import Ledger, StandInEngine, StandInUpstream
from beamhatch.platform.store import PlatformStore
from beamhatch.relay.daemon import Daemon, RelaySettings
from beamhatch.relay.model import Address
from beamhatch.relay.retries.budget import RetryBudgetLimits
from beamhatch.relay.upstreams.http_client import HttpClient

HOST = "desk.example"
HALL = "kl-a"
ANY_PORT = Address("127.0.0.1", 0)
READY_CHECK_INTERVAL_S = 0.05
"""Interval between checks whether the router is ready."""

ROUTES = [("accounts", "/accounts/", "safe", "acct-svc"), ("checks", "/checks/", "streaming", "lm-desk")]


def run_trial(reactor: Any, caller_port: int) -> int:
    """Run until stopped and return the exit code."""
    clock = Clock(reactor)
    store = start_platform(clock)
    settings = RelaySettings(
        vm="standalone",
        hall=HALL,
        caller_address=Address("127.0.0.1", caller_port),
        ready_address=ANY_PORT,
        ready_path="/api/ready",
        store_address=store.address,
        grace=3.0,
        retry_budget=RetryBudgetLimits(),
        peer_address=None,
        is_first_start=True,
    )
    journal = Journal(clock, 2)
    documents = PlatformDocuments(journal)
    adapter = PlatformStore(HttpClient(clock), clock, store.address, documents)
    daemon = Daemon(settings, clock, journal, Tally(), PlatformDialect(), documents, adapter)
    daemon.start()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(reactor.stop))
    _print_when_ready(daemon, clock)
    reactor.run(installSignalHandlers=False)
    return 0


def start_platform(clock: Clock) -> StandInStore:
    """Start the store and its registered upstreams; return the store."""
    store = StandInStore(clock, ANY_PORT)
    store.start()
    ledger = Ledger()
    upstreams: list[tuple[str, StandInUpstream]] = [
        ("acct-svc", StandInUpstream(clock, ANY_PORT, "acct-1", ledger)),
        ("lm-desk", StandInEngine(clock, ANY_PORT, "prefill-1", ledger, "prefill")),
        ("lm-desk", StandInEngine(clock, ANY_PORT, "decode-1", ledger, "decode")),
    ]
    for service, upstream in upstreams:
        upstream.start()
        store.put(f"servers/{upstream.instance}", upstream.make_entry(service, HALL))
    store.put("op/config", make_configuration())
    return store


def make_configuration() -> dict[str, object]:
    """Return a configuration with one route per service."""
    engine = {"capacity": 128, "kv_capacity": 60_000, "kv_ttl_s": 0.5, "hold_ms": 2000}
    routes = [
        {
            "name": name,
            "host": HOST,
            "path_prefix": prefix,
            "route_type": kind,
            "timeout_ms": 14_000,
            "target_latency_ms": 900,
            "service": service,
        }
        for name, prefix, kind, service in ROUTES
    ]
    return {
        "version": 1,
        "routes": routes,
        "services": [{"name": "acct-svc"}, {"name": "lm-desk", "engine": engine}],
        "limits": {},
    }


def _print_when_ready(daemon: Daemon, clock: Clock) -> None:
    if not daemon.core.ready:
        clock.call_later(READY_CHECK_INTERVAL_S, _print_when_ready, daemon, clock)
        return
    address = f"http://127.0.0.1:{daemon.caller_port}"
    print(f"READY standalone caller={daemon.caller_port}")
    print("Try it:")
    print(f"  curl -N {address}/checks/x -H 'Host: {HOST}' -H 'Request-Id: q1' -H 'Token-Count: 5000,20'")
    print(f"  curl {address}/accounts/x -H 'Host: {HOST}' -H 'Request-Id: q2'", flush=True)
