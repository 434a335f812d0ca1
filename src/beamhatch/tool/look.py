"""Subcommands that look: status, upstreams, requests, trace, compare."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from beamhatch.tool.api import EXIT_FAILED, EXIT_OK, complain, print_table, register, show

if TYPE_CHECKING:
    import argparse
    from collections.abc import Sequence

    from beamhatch.tool.client import AdminClient, AdminReply


def show_reply(reply: AdminReply, options: argparse.Namespace, columns: Sequence[str] = ()) -> int:
    """Print what was asked for, or why it can't be had."""
    if not reply.ok:
        complain(str(reply.value.get("error", reply.value)))
        return EXIT_FAILED
    return show(reply.value, options, columns)


@register("status", help_text="this VM and the members of its hall", example="beamhatch status")
def show_status(client: AdminClient, options: argparse.Namespace) -> int:
    """Show the VM that is asked, and its members."""
    reply = client.get("/status")
    if options.json or not reply.ok:
        return show_reply(reply, options)
    members = reply.value.pop("members")
    show(reply.value, options)
    print()
    print_table(members, ("vm", "health", "boot", "address"))
    return EXIT_OK


@register("upstreams", help_text="engines and services with their load", example="beamhatch upstreams --json")
def list_upstreams(client: AdminClient, options: argparse.Namespace) -> int:
    """Show all upstreams."""
    columns = (
        "name",
        "pool",
        "role",
        "hall",
        "standing",
        "circuit",
        "jobs",
        "held_tokens",
        "capacity_tokens",
        "report_age",
    )
    return show_reply(client.get("/upstreams"), options, columns)


@register("requests", help_text="requests under way on this VM", example="beamhatch requests")
def list_requests(client: AdminClient, options: argparse.Namespace) -> int:
    """Show what is under way."""
    columns = ("request", "workspace", "target", "state", "policy", "first", "decode", "frames", "seconds")
    return show_reply(client.get("/requests"), options, columns)


def add_trace(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``trace``."""
    parser.add_argument("request", metavar="REQUEST", help="its id, from the Beamhatch-Request header")


@register(
    "trace",
    help_text="the spans of a request",
    example="beamhatch trace kl-a-1.1796205094331.17",
    add_arguments=add_trace,
)
def show_trace(client: AdminClient, options: argparse.Namespace) -> int:
    """Show each hop of a request with its times."""
    reply = client.get("/trace", request=options.request)
    if options.json or not reply.ok:
        return show_reply(reply, options)
    start = reply.value[0]["start"]
    rows = [
        {
            "span": span["name"],
            "from_ms": round((span["start"] - start) * 1000, 1),
            "lasted_ms": round(((span["end"] or span["start"]) - span["start"]) * 1000, 1),
            "attributes": span["attributes"],
        }
        for span in reply.value
    ]
    print_table(rows, ("span", "from_ms", "lasted_ms", "attributes"))
    return EXIT_OK


def add_compare(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``compare``."""
    parser.add_argument("first", metavar="A")
    parser.add_argument("second", metavar="B")


@register(
    "compare",
    help_text="two policies on live traffic",
    example="beamhatch compare naive predicted",
    add_arguments=add_compare,
)
def compare(client: AdminClient, options: argparse.Namespace) -> int:
    """Show how two policies went, and whether the difference is real."""
    reply = client.get("/compare", a=options.first, b=options.second)
    if options.json or not reply.ok:
        return show_reply(reply, options)
    value = reply.value
    print_table([_flatten(row) for row in value["policies"]], ())
    print()
    print(f"goodput of {options.second} against {options.first}: {value['goodput']}")
    print(f"wasted prefill of {options.second} against {options.first}: {value['wasted_prefill']}")
    if value["same_requests"]:
        print("\nDecisions on the same requests:")
        print_table(value["same_requests"], ("serving", "compared", "asked", "same", "waited", "sooner"))
    return EXIT_OK


def _flatten(row: dict[str, Any]) -> dict[str, Any]:
    flat: dict[str, Any] = {}
    for name, value in row.items():
        if isinstance(value, dict):
            flat[name] = f"{value['value']:.3f} [{value['low']:.3f}, {value['high']:.3f}]"
        else:
            flat[name] = value
    return flat
