"""Work out docs/CAPACITY.md from the slopes in benchmarks/slopes.json.

``python -m benchmarks.capacity`` prints each role's line against its budget and exits with 1 where the page and the
figures differ; ``--write`` writes the table into the page. A new slope gives a new page.
"""

from __future__ import annotations

import argparse
import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

SLOPES = Path("benchmarks/slopes.json")
PAGE = Path("docs/CAPACITY.md")
BEGIN, END = "<!-- figures: begin -->", "<!-- figures: end -->"

NODES, HALLS, REPLICAS, REQUESTS, WORKSPACES = 590, 11, 6900, 18_000, 330
MODELS, CHANGES_A_DAY, RESTARTS_A_DAY = 22, 4300, 620
DAY = 86_400
KEYED_SHARE = 0.2
"""Share of requests with an idempotency key: an assumption."""
RECORD_RETENTION = 600
COPIES = 3
GUARDS = 2
SHARE_PERIOD = 0.03
LOAD_PERIOD = 0.25
FAR_PROBES_A_SECOND = 2
CPU_BUDGET, MEMORY_BUDGET, BYTES_BUDGET = 0.022, 128e6, 5000.0
KV_WRITES, KV_READS = 400, 2000
"""Calls a second that the platform's store takes from all VMs together, at today's deployments (their site files)."""

WRITES_FOR_ALL = 2 * WORKSPACES
"""Writes when all workspaces are changed: body and head of each."""


@dataclass(frozen=True)
class Line:
    """What one role costs one node."""

    role: str
    mechanism: str
    cpu: float
    """Share of a core."""
    memory: float
    """Bytes."""
    wire: float
    """Bytes sent a second."""
    control: bool = True

    @property
    def fits(self) -> bool:
        """Return whether the line alone is within the budget."""
        return self.cpu <= CPU_BUDGET and self.memory <= MEMORY_BUDGET and self.wire <= BYTES_BUDGET


def work_out(slopes: dict[str, Any]) -> list[Line]:
    """Return the line of each role at the size to design for."""
    size, memory = slopes["message_bytes"], slopes["memory_bytes"]
    per_node = REQUESTS / NODES
    hall_nodes, hall_upstreams = NODES / HALLS, REPLICAS / HALLS
    decision = slopes["decision"][-1]["us"] / 1e6
    message = cost_message(slopes)
    member = slopes["membership"][-1]
    keyed = per_node * KEYED_SHARE
    told = min(3 * per_node, 1 / SHARE_PERIOD) * (hall_nodes - 1)
    shares_a_second = 3 * per_node * size["share_each"] * (hall_nodes - 1)
    changes = CHANGES_A_DAY / DAY
    report = slopes["load_report_us"] / 1e6
    far = (HALLS - 1) * 2 * FAR_PROBES_A_SECOND
    return [
        Line(
            "router: decisions", "ordered candidates, decide/fleet.py", per_node * decision,
            hall_upstreams * memory["upstream"] + 1000 * memory["waiting_request"], 0.0,
        ),
        Line(
            "router: load reports, read by every VM", "polling, task/pools.py",
            hall_upstreams / LOAD_PERIOD * report, 0.0, hall_upstreams / LOAD_PERIOD * 150,
        ),
        Line(
            "router: shares told to all VMs of the hall", "task/sharing.py", told * message,
            hall_nodes * hall_upstreams * memory["share"], shares_a_second,
        ),
        Line(
            "guard", "task/guards.py", per_node * GUARDS * 2 * 2 * message, 3 * 20 * per_node * 200,
            per_node * GUARDS * (2 * size["runs_begun"] + size["runs_ended_each"]),
        ),
        Line(
            "holder of idempotency records", "task/hall_records.py", keyed * COPIES * 4 * message,
            keyed * COPIES * RECORD_RETENTION * memory["record"],
            keyed * COPIES * (size["record_put"] + size["record_answer"] + size["record_end"]),
        ),
        Line(
            "member", "decide/member.py", member["cpu_share"], hall_nodes * 500, slopes["membership"][0]["bytes_per_s"],
        ),
        Line(
            "gateway between halls", "task/far.py", far * message, (HALLS - 1) * 2 * 1000, far * 2 * size["probe"],
        ),
        Line(
            "watcher (2 a hall): the hall's changes", "task/configuring.py", changes * hall_nodes * 4 * message,
            WORKSPACES * memory["workspace"], changes * (hall_nodes - 1) * (size["config_change"] + 10),
        ),
        Line(
            "follower: changes taken in", "task/configuring.py", changes * 0.02, WORKSPACES * memory["workspace"],
            changes * 10,
        ),
    ]  # fmt: skip


def cost_message(slopes: dict[str, Any]) -> float:
    """Return the seconds of processor time of one message at one end; both ends were measured together."""
    return float(slopes["message_us"]) / 2 / 1e6


def list_kv(slopes: dict[str, Any]) -> list[tuple[str, float, str]]:
    """Return the platform's calls a second by cause, at the peak of each."""
    watchers = 2 * HALLS
    return [
        ("waiting watches (count as one call each)", float(watchers), "2 watchers a hall"),
        ("reads by watchers, every 5 s with jitter", watchers / 5, "1 read of the head each"),
        ("reads for changes", CHANGES_A_DAY / DAY * watchers * 2, "head and body, each watcher"),
        ("writes for changes", CHANGES_A_DAY / DAY * 2, "body and head"),
        ("reads in the second after an outage", float(watchers) * 2, "watchers only, spread over 1 s by jitter"),
        ("reads by VMs that start, all at once in a hall", NODES / HALLS, "1 read each, peers answer the rest"),
        (
            "writes, all 330 workspaces changed at once",
            float(KV_WRITES),
            f"slowed by the platform to its limit: {WRITES_FOR_ALL / KV_WRITES:.2f} s",
        ),
    ]


def render(slopes: dict[str, Any]) -> str:
    """Return the part of the page that is worked out."""
    lines = work_out(slopes)
    out = [
        "| role | mechanism | CPU, % of a core | memory, MB | sent, bytes/s | fits by itself |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for line in lines:
        out.append(
            f"| {line.role} | {line.mechanism} | {line.cpu * 100:.2f} | {line.memory / 1e6:.2f} | {line.wire:.0f} | "
            f"{'yes' if line.fits else '**no**'} |"
        )
    fitting = [line for line in lines if line.fits]
    cpu, memory, wire = (sum(getattr(line, name) for line in fitting) for name in ("cpu", "memory", "wire"))
    whole = "yes" if cpu <= CPU_BUDGET and memory <= MEMORY_BUDGET and wire <= BYTES_BUDGET else "**no**"
    out.append(f"| all that fit, together | | {cpu * 100:.2f} | {memory / 1e6:.2f} | {wire:.0f} | {whole} |")
    out.append(f"| budget | | {CPU_BUDGET * 100:.2f} | {MEMORY_BUDGET / 1e6:.2f} | {BYTES_BUDGET:.0f} | |")
    out += ["", "| platform's KV | calls a second | how |", "| --- | --- | --- |"]
    out += [f"| {cause} | {rate:.2f} | {how} |" for cause, rate, how in list_kv(slopes)]
    out.append(f"| limits | {KV_READS} reads, {KV_WRITES} writes | three times as many at the grown deployments |")
    return "\n".join(out)


def main() -> int:
    """Print the figures, and check or write the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", action="store_true", help="write the figures into the page")
    options = parser.parse_args()
    figures = render(json.loads(SLOPES.read_text(encoding="utf-8")))
    print(figures)
    page = PAGE.read_text(encoding="utf-8")
    head, _, rest = page.partition(BEGIN)
    shown, _, tail = rest.partition(END)
    if options.write:
        PAGE.write_text(f"{head}{BEGIN}\n{figures}\n{END}{tail}", encoding="utf-8")
        return 0
    if shown.strip() != figures:
        print(
            "docs/CAPACITY.md does not show these figures; run python -m benchmarks.capacity --write", file=sys.stderr
        )
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
