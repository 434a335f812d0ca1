"""``beamhatchd standalone``: the router with stand-ins for everything around it, in one process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Literal

from beamhatch.command.api import register
from beamhatch.command.run import add_ports
from beamhatch.settings.schema import (
    Admin,
    Caller,
    Document,
    Log,
    Platform,
    Policy,
    Pool,
    Settings,
    Slice,
    Upstream,
    Workspace,
)

if TYPE_CHECKING:
    import argparse

    from beamhatch.task.node import Node

MODEL = "lm-desk"
SERVICE = "acct-svc"
HALL = "kl-a"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options."""
    add_ports(parser)
    parser.add_argument(
        "--platform", action="store_true", help="the relay and stand-ins of the users' platform instead of the router"
    )


@register("standalone", help_text="run the router with stand-ins, to try it", add_arguments=add_arguments)
def standalone(options: argparse.Namespace) -> int:
    """Run until stopped."""
    from twisted.internet import reactor

    if options.platform:
        from beamhatch.platform.standin.trial import run_trial

        return run_trial(reactor, 8080 if options.caller_port is None else options.caller_port)

    from beamhatch.command.serve import serve
    from beamhatch.standin.kv import start_kv

    _, kv_port = start_kv(reactor)
    caller = 8080 if options.caller_port is None else options.caller_port
    admin = 8081 if options.admin_port is None else options.admin_port
    settings = Settings(
        vm="standalone",
        hall=HALL,
        copies=1,
        caller=Caller(port=caller),
        admin=Admin(port=admin),
        platform=Platform(kv=f"127.0.0.1:{kv_port}"),
        log=Log(level="warning"),
        configuration=make_documents(reactor),
    )
    return serve(settings, reactor, print_welcome)


def make_documents(reactor: Any) -> list[Document]:
    """Start engines and a service, and return the documents that name them."""
    from beamhatch.standin.engine import Shape, start_engine
    from beamhatch.standin.service import start_service

    upstreams = []
    roles: tuple[Literal["prefill", "decode"], ...] = ("prefill", "decode")
    for role in roles:
        for number in (1, 2):
            name = f"{MODEL}-{role}-{number}"
            _, port = start_engine(reactor, Shape(name=name, model=MODEL, role=role, pace=0.02))
            upstreams.append(Upstream(name=name, address=f"127.0.0.1:{port}", hall=HALL, role=role))
    _, port = start_service(reactor, f"{SERVICE}-1")
    replica = Upstream(name=f"{SERVICE}-1", address=f"127.0.0.1:{port}", hall=HALL, role="service")
    return [
        Pool(name=MODEL, model=MODEL, upstreams=upstreams),
        Pool(name=SERVICE, service=SERVICE, upstreams=[replica]),
        Workspace(name="order-desk", priority="high", repeatable=False),
        Workspace(name="tariffs", goal="wasted_prefill"),
        Policy(name="predicted", algorithm="predicted"),
        Policy(name="naive", algorithm="naive"),
        Slice(name="default", policy="predicted", compared=["naive"]),
    ]


def print_welcome(node: Node) -> None:
    """Print what to try."""
    body = '{"model": "lm-desk", "prompt": "Check the order against the mandate.", "stream": true}'
    print("Try it:")
    print(
        f"  curl -N http://127.0.0.1:{node.caller_port}/v1/completions -H 'Content-Type: application/json' -d '{body}'"
    )
    print(f"  beamhatch --admin http://127.0.0.1:{node.admin_port} status", flush=True)
