"""Subcommands that read and change the configuration."""

from __future__ import annotations

import json
import secrets
from pathlib import Path
from typing import TYPE_CHECKING, Any

from beamhatch.settings.check import Rejected, encode_document, name_document, parse_document
from beamhatch.tool.api import (
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_OK,
    EXIT_UNKNOWN,
    EXIT_USAGE,
    complain,
    register,
    show,
)
from beamhatch.tool.look import show_reply

if TYPE_CHECKING:
    import argparse

    from beamhatch.tool.client import AdminClient, AdminReply

_ACCEPTED, _UNKNOWN, _CONFLICT = 200, 202, 409


def add_change(parser: argparse.ArgumentParser) -> None:
    """Add the options that all changes share."""
    parser.add_argument("--reason", default="", help="kept with the change")
    parser.add_argument("--change", metavar="ID", help="id of the change; give the same one to try again safely")


def add_get(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``config get``."""
    parser.add_argument("name", nargs="?", metavar="NAME", help="such as pool/lm-desk; all without it")


@register(
    "config", "get", help_text="documents in force", example="beamhatch config get pool/lm-desk", add_arguments=add_get
)
def get_documents(client: AdminClient, options: argparse.Namespace) -> int:
    """Print one document, or the names and hashes of all."""
    reply = client.get("/config")
    if not reply.ok:
        return show_reply(reply, options)
    documents = reply.value["documents"]
    if options.name is not None:
        if options.name not in documents:
            complain(f"there is no document {options.name!r}")
            return EXIT_FAILED
        print(json.dumps(documents[options.name]["document"], indent=2))
        return EXIT_OK
    if options.json:
        return show(reply.value, options)
    print(f"sequence: {reply.value['sequence']}")
    return show([{"name": name, "digest": item["digest"][:16]} for name, item in documents.items()], options)


def add_put(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``config put``."""
    parser.add_argument("files", nargs="*", metavar="FILE", help="a document each, JSON with comments")
    parser.add_argument("--remove", action="append", default=[], metavar="NAME", help="a document to remove")
    add_change(parser)


@register(
    "config",
    "put",
    help_text="change documents",
    example="beamhatch config put pool.json --reason 'two more engines'",
    add_arguments=add_put,
)
def put_documents(client: AdminClient, options: argparse.Namespace) -> int:
    """Send documents, on the condition that they stand as they do now."""
    documents = []
    for file in options.files:
        document = _read_document(file)
        if document is None:
            return EXIT_USAGE
        documents.append(document)
    known = client.get("/config")
    if not known.ok:
        return show_reply(known, options)
    digests = {name: item["digest"] for name, item in known.value["documents"].items()}
    touched = [name_document(document) for document in documents] + options.remove
    value = {
        "documents": [json.loads(encode_document(document)) for document in documents],
        "remove": options.remove,
        "base": {name: digests.get(name) for name in touched},
    }
    return send_change(client, options, "/config", value)


@register("config", "history", help_text="the last changes", example="beamhatch config history")
def show_history(client: AdminClient, options: argparse.Namespace) -> int:
    """Print who changed what, and why."""
    columns = ("sequence", "change", "operator", "reason", "documents")
    return show_reply(client.get("/config/history"), options, columns)


def add_status(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``config status``."""
    parser.add_argument("--change", metavar="ID", help="tell whether this change was accepted")


@register(
    "config",
    "status",
    help_text="what each VM has in force",
    example="beamhatch config status --change 5f3a",
    add_arguments=add_status,
)
def show_config_status(client: AdminClient, options: argparse.Namespace) -> int:
    """Print the sequence of each VM of the hall, or what became of a change."""
    if options.change is None:
        columns = ("vm", "hall", "sequence", "took_seconds", "ready", "answers")
        return show_reply(client.get("/config/status"), options, columns)
    reply = client.get("/config/change", id=options.change)
    show(reply.value, options)
    return {200: EXIT_OK, 503: EXIT_UNKNOWN}.get(reply.status, EXIT_FAILED)


@register("policy", "list", help_text="policies and the slices they serve", example="beamhatch policy list")
def list_policies(client: AdminClient, options: argparse.Namespace) -> int:
    """Print the policies."""
    return show_reply(client.get("/policies"), options, ("name", "algorithm", "version", "parameters", "serves"))


def add_policy(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``policy put``."""
    parser.add_argument("name", metavar="NAME")
    parser.add_argument(
        "--algorithm", required=True, help="naive, two_choices, reserve_start, reserve_end or predicted"
    )
    parser.add_argument("--set", action="append", default=[], metavar="NAME=NUMBER", help="a parameter")
    parser.add_argument("--version", type=int, default=1)
    add_change(parser)


@register(
    "policy",
    "put",
    help_text="create or change a policy",
    example="beamhatch policy put careful --algorithm predicted --set margin=0.05",
    add_arguments=add_policy,
)
def put_policy(client: AdminClient, options: argparse.Namespace) -> int:
    """Put one policy."""
    try:
        parameters = {name: float(number) for name, _, number in (item.partition("=") for item in options.set)}
    except ValueError:
        complain("--set takes NAME=NUMBER")
        return EXIT_USAGE
    document = {
        "kind": "policy",
        "name": options.name,
        "algorithm": options.algorithm,
        "version": options.version,
        "parameters": parameters,
    }
    return send_change(client, options, "/config", {"documents": [document]})


def add_promote(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``policy promote``."""
    parser.add_argument("policy", metavar="POLICY")
    add_change(parser)


@register(
    "policy",
    "promote",
    help_text="let a policy serve all traffic",
    example="beamhatch policy promote careful --reason 'goodput'",
    add_arguments=add_promote,
)
def promote_policy(client: AdminClient, options: argparse.Namespace) -> int:
    """Promote a policy."""
    return send_change(client, options, "/policies/promote", {"policy": options.policy})


def add_withdraw(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``policy withdraw``."""
    parser.add_argument("policy", metavar="POLICY")
    parser.add_argument("--to", metavar="OTHER", help="what serves instead, where the policy serves all traffic")
    add_change(parser)


@register(
    "policy",
    "withdraw",
    help_text="take a policy out of all slices",
    example="beamhatch policy withdraw careful --to predicted",
    add_arguments=add_withdraw,
)
def withdraw_policy(client: AdminClient, options: argparse.Namespace) -> int:
    """Withdraw a policy."""
    return send_change(client, options, "/policies/withdraw", {"policy": options.policy, "to": options.to})


@register("slice", "list", help_text="slices in the order in which they are tried", example="beamhatch slice list")
def list_slices(client: AdminClient, options: argparse.Namespace) -> int:
    """Print the slices."""
    return show_reply(client.get("/slices"), options, ("name", "rank", "selector", "percent", "policy", "compared"))


def add_slice(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``slice set``."""
    parser.add_argument("name", metavar="NAME")
    parser.add_argument("--policy", required=True)
    parser.add_argument("--percent", type=float, default=100.0)
    parser.add_argument("--selector", default="", help="such as 'workspace in (order-desk, night)'")
    parser.add_argument("--compared", action="append", default=[], metavar="POLICY")
    parser.add_argument("--rank", type=int, default=10, help="higher ranks are tried first")
    add_change(parser)


@register(
    "slice",
    "set",
    help_text="shift a share of the traffic to a policy",
    example="beamhatch slice set try --policy careful --percent 5",
    add_arguments=add_slice,
)
def set_slice(client: AdminClient, options: argparse.Namespace) -> int:
    """Put one slice."""
    document = {
        "kind": "slice",
        "name": options.name,
        "policy": options.policy,
        "percent": options.percent,
        "selector": options.selector,
        "compared": options.compared,
        "rank": options.rank,
    }
    return send_change(client, options, "/config", {"documents": [document]})


def send_change(client: AdminClient, options: argparse.Namespace, path: str, value: dict[str, Any]) -> int:
    """Send a change and say how it went."""
    change = options.change or secrets.token_hex(8)
    reply = client.post(path, {**value, "reason": options.reason, "change": change})
    if options.json:
        print(json.dumps(reply.value, indent=2))
    else:
        _tell_change(reply, change)
    return {_ACCEPTED: EXIT_OK, _UNKNOWN: EXIT_UNKNOWN, _CONFLICT: EXIT_CONFLICT}.get(reply.status, EXIT_FAILED)


def _tell_change(reply: AdminReply, change: str) -> None:
    value = reply.value
    result = value.get("result", "failed")
    if result == "accepted":
        print(f"accepted as sequence {value['sequence']} (change {change})")
    elif result == "conflict":
        complain(f"conflict: {value['document']} was changed meanwhile; look at it and try again")
    elif result == "unknown":
        complain(f"unknown: {value['detail']}; ask by: beamhatch config status --change {change}")
    else:
        complain(f"{result}: {value.get('error') or value.get('detail') or ''}")
        for problem in value.get("problems", []):
            complain(f"  {problem}")


def _read_document(file: str) -> Any:
    try:
        text = Path(file).read_text(encoding="utf-8")
    except OSError as error:
        complain(f"{file} can't be read: {error.strerror}")
        return None
    parsed = parse_document(text, file)
    if isinstance(parsed, Rejected):
        for problem in parsed.problems:
            complain(str(problem))
        return None
    return parsed
