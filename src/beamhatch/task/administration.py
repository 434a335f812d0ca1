"""What operators may see and do; the admin API is a thin layer over this."""

from __future__ import annotations

import secrets
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from beamhatch.decide.comparison import Interval, PolicyStats, compare_shares
from beamhatch.decide.configuration import Change, Conflict, Invalid
from beamhatch.decide.promotion import DEFAULT_SLICE, PromotionError, promote, withdraw
from beamhatch.ids import ChangeId
from beamhatch.settings.check import Rejected, encode_document, name_document, parse_document
from beamhatch.settings.schema import Document, Slice
from beamhatch.task.configuring import Accepted, ChangeResult, Unavailable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from beamhatch.task.node import Node

MOST_LISTED = 500


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer to an operator: an HTTP-like status and a JSON value."""

    status: int
    value: Any


@dataclass(frozen=True, slots=True)
class Asker:
    """Who asks, and for which workspaces; ``*`` stands for all."""

    operator: str
    workspaces: tuple[str, ...] = ("*",)

    def may_change(self, name: str) -> bool:
        """Tell whether a document may be changed: one of a workspace by its own operators, the rest by those of all."""
        kind, _, rest = name.partition("/")
        return "*" in self.workspaces or (kind == "workspace" and rest in self.workspaces)

    def may_see(self, workspace: str) -> bool:
        """Tell whether a workspace's requests may be seen."""
        return "*" in self.workspaces or workspace in self.workspaces


class Administration:
    """Answers operators."""

    def __init__(self, node: Node) -> None:
        self._node = node

    # --- looking ---------------------------------------------------------------------------------------------------

    def show_status(self) -> Reply:
        """Return what this VM is and how it stands."""
        node = self._node
        members = node.mesh.members
        rows = [
            {"vm": vm, "health": note.health.name.lower(), "boot": note.boot, "address": note.address}
            for vm in members.list_registered()
            if (note := members.get(vm)) is not None
        ]
        return Reply(
            200,
            {
                "vm": node.vm,
                "hall": node.settings.hall,
                "boot": node.boot,
                "ready": node.explain_unready() is None,
                "reason": node.explain_unready(),
                "sequence": node.configuring.configuration.head.sequence,
                "open_requests": len(node.router.exchanges),
                "open_cancels": len(node.canceller.open),
                "records": len(node.holder.store.records),
                "records_ready": node.holder.is_ready,
                "members": rows,
            },
        )

    def list_upstreams(self) -> Reply:
        """Return all upstreams with their load as this VM sees it."""
        now = self._node.clock.now()
        rows = []
        for route, hosted in sorted(self._node.pools.hosted.items()):
            for ledger in hosted.pool.fleet.ledgers.values():
                rows.append(
                    {
                        "pool": hosted.document.name,
                        "target": route,
                        "name": ledger.config.name,
                        "role": ledger.config.role,
                        "hall": ledger.config.hall,
                        "address": ledger.config.address,
                        "standing": ledger.state.value,
                        "circuit": ledger.breaker.state.value,
                        "jobs": ledger.jobs,
                        "held_tokens": ledger.held_tokens,
                        "promised_tokens": ledger.reserved_tokens,
                        "capacity_tokens": ledger.capacity_tokens,
                        "report_age": round(now - ledger.report.time, 3) if ledger.report else None,
                        "labels": ledger.config.labels,
                    }
                )
        return Reply(200, rows)

    def list_requests(self, asker: Asker) -> Reply:
        """Return the requests under way."""
        now = self._node.clock.now()
        rows = [
            {
                "request": exchange.call.request,
                "workspace": exchange.call.workspace,
                "target": exchange.call.target,
                "state": exchange.request.state.value,
                "policy": exchange.policy,
                "first": exchange.request.first,
                "decode": exchange.request.decode,
                "frames": exchange.frames,
                "seconds": round(now - exchange.call.arrival_time, 3),
            }
            for exchange in self._node.router.exchanges.values()
            if asker.may_see(exchange.call.workspace)
        ]
        return Reply(200, rows[:MOST_LISTED])

    def show_trace(self, request: str, asker: Asker) -> Reply:
        """Return the spans of a request that this VM handled."""
        trace = self._node.tracer.find(request)
        if trace is None or not asker.may_see(str(trace.spans[0].attributes.get("workspace", ""))):
            return Reply(404, {"error": f"this VM keeps no trace of {request!r}"})
        return Reply(200, [asdict(span) for span in trace.spans])

    def compare(self, first: str, second: str) -> Reply:
        """Return how two policies went on the requests that each served, and whether the difference is real."""
        comparison = self._node.comparison
        policies = {document.name for document in self._node.configuring.configuration.list_policies()}
        for name in (first, second):
            if name not in policies and name not in comparison.stats:
                return Reply(404, {"error": f"there is no policy {name!r}"})
        tallies = [comparison.stats.get(name, PolicyStats()) for name in (first, second)]
        counts = [len(tally.samples) for tally in tallies]
        goodput = [tally.compute_goodput() for tally in tallies]
        waste = [tally.compute_waste() for tally in tallies]
        rows = [
            _describe(name, tally, good, wasted)
            for name, tally, good, wasted in zip((first, second), tallies, goodput, waste, strict=True)
        ]
        agreements = [
            {"serving": serving, "compared": compared, **asdict(agreement)}
            for (serving, compared), agreement in comparison.agreements.items()
            if {serving, compared} == {first, second}
        ]
        return Reply(
            200,
            {
                "policies": rows,
                "goodput": compare_shares(goodput[0], goodput[1], counts[0], counts[1], more_is_better=True).value,
                "wasted_prefill": compare_shares(waste[0], waste[1], counts[0], counts[1], more_is_better=False).value,
                "weights": {item.name: item.goal for item in self._node.configuring.configuration.list_workspaces()},
                "same_requests": agreements,
            },
        )

    # --- configuration ---------------------------------------------------------------------------------------------

    def list_documents(self) -> Reply:
        """Return the documents in force with their hashes."""
        configuration = self._node.configuring.configuration
        documents = {
            name: {"digest": configuration.head.documents[name], "document": _to_json(document)}
            for name, document in sorted(configuration.documents.items())
        }
        return Reply(200, {"sequence": configuration.head.sequence, "documents": documents})

    def show_history(self) -> Reply:
        """Return the last changes, newest first."""
        changes = self._node.configuring.configuration.head.changes
        return Reply(200, [msgspec.to_builtins(note) for note in reversed(changes)])

    async def show_config_status(self) -> Reply:
        """Return what each VM of the hall has in force."""
        answers = await self._node.configuring.list_status()
        names = self._node.mesh.members.list_registered()
        rows = []
        for name, answer in zip(names, answers, strict=True):
            row: dict[str, Any] = {"vm": name, "hall": self._node.settings.hall, "answers": answer is not None}
            if answer is not None:
                row.update(sequence=answer.sequence, took_seconds=round(answer.took, 3), ready=answer.ready)
            rows.append(row)
        return Reply(200, rows)

    async def find_change(self, change: str) -> Reply:
        """Return whether a change was accepted, by its id."""
        found = await self._node.configuring.find_change(change)
        if isinstance(found, Unavailable):
            return Reply(503, {"result": "unknown", "change": change, "detail": found.detail})
        if found is None:
            return Reply(404, {"result": "not_accepted", "change": change})
        return Reply(200, {"result": "accepted", "change": change, "sequence": found.sequence})

    async def put_documents(self, value: Any, asker: Asker) -> Reply:
        """Change documents: ``documents`` to put, ``remove`` names, ``base`` hashes, ``reason`` and ``change`` id."""
        if not isinstance(value, dict) or not isinstance(value.get("documents", []), list):
            return Reply(400, {"error": "send an object with a list of documents"})
        documents: list[Document] = []
        problems: list[str] = []
        for item in value.get("documents", []):
            parsed = parse_document(msgspec.json.encode(item).decode(), "request")
            if isinstance(parsed, Rejected):
                problems += [str(problem) for problem in parsed.problems]
            else:
                documents.append(parsed)
        if problems:
            return Reply(422, {"result": "rejected", "problems": problems})
        removed = [str(name) for name in value.get("remove", [])]
        base = value.get("base")
        reason, change = str(value.get("reason", "")), str(value.get("change") or secrets.token_hex(8))
        return await self._change(documents, removed, asker, reason, change, base if isinstance(base, dict) else None)

    async def promote(self, value: Any, asker: Asker) -> Reply:
        """Let a policy serve all traffic."""
        return await self._rearrange(value, asker, promote)

    async def withdraw(self, value: Any, asker: Asker) -> Reply:
        """Take a policy out of all slices."""
        return await self._rearrange(value, asker, withdraw)

    async def _rearrange(self, value: Any, asker: Asker, rule: Any) -> Reply:
        policy = str((value or {}).get("policy", ""))
        slices = self._node.configuring.configuration.list_slices()
        known = {document.name for document in self._node.configuring.configuration.list_policies()}
        if policy not in known:
            return Reply(404, {"error": f"there is no policy {policy!r}"})
        try:
            put, remove = rule(slices, policy, value.get("to"))
        except PromotionError as error:
            return Reply(422, {"result": "rejected", "problems": [str(error)]})
        change = str(value.get("change") or secrets.token_hex(8))
        return await self._change(put, remove, asker, str(value.get("reason", "")), change, None)

    async def _change(
        self,
        documents: Sequence[Document],
        remove: Sequence[str],
        asker: Asker,
        reason: str,
        change: str,
        base: dict[str, str | None] | None,
    ) -> Reply:
        put = {name_document(document): encode_document(document) for document in documents}
        touched = [*put, *remove]
        denied = [name for name in touched if not asker.may_change(name)]
        if denied:
            return Reply(403, {"error": f"the token does not allow to change {', '.join(denied)}"})
        if base is None:
            now = self._node.configuring.configuration.head.documents
            base = {name: now.get(name) for name in touched}
        wanted = Change(ChangeId(change), asker.operator, reason, put, tuple(remove), base)
        return _describe_result(await self._node.configuring.change(wanted), change)

    def list_slices(self) -> Reply:
        """Return the slices in the order in which they are tried."""
        slices = self._node.configuring.configuration.list_slices()
        return Reply(200, [_to_json(item) for item in slices] or [_to_json(DEFAULT_SLICE)])

    def list_policies(self) -> Reply:
        """Return the policies, with the slices that they serve."""
        configuration = self._node.configuring.configuration
        slices: list[Slice] = configuration.list_slices()
        rows = [
            {**_to_json(item), "serves": [one.name for one in slices if one.policy == item.name]}
            for item in configuration.list_policies()
        ]
        return Reply(200, rows)


def _describe(name: str, tally: PolicyStats, goodput: Interval, waste: Interval) -> dict[str, Any]:
    return {
        "policy": name,
        "requests": len(tally.samples),
        "goodput": asdict(goodput),
        "wasted_prefill": asdict(waste),
        "first_token_p50": tally.compute_percentile("first_token", 0.5),
        "first_token_p95": tally.compute_percentile("first_token", 0.95),
        "pace_p95": tally.compute_percentile("pace", 0.95),
    }


def _describe_result(result: ChangeResult, change: str) -> Reply:
    if isinstance(result, Accepted):
        return Reply(200, {"result": "accepted", "change": change, "sequence": result.sequence})
    if isinstance(result, Conflict):
        return Reply(409, {"result": "conflict", "change": change, **asdict(result)})
    if isinstance(result, Invalid):
        return Reply(422, {"result": "rejected", "change": change, "problems": list(result.problems)})
    if isinstance(result, Unavailable):
        return Reply(503, {"result": "unavailable", "change": change, "detail": result.detail})
    return Reply(202, {"result": "unknown", "change": change, "detail": result.detail})


def _to_json(document: Document) -> dict[str, Any]:
    """Return a document with its defaults filled in."""
    value: dict[str, Any] = msgspec.to_builtins(msgspec.structs.asdict(document))
    return {"kind": document.__struct_config__.tag, **value}
