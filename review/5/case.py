"""Streams that broke off go on at a server of another software version, which granted memory late."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import Lab, Verdict, make_configuration, make_request, read_stream, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENGINE = {
    "capacity": 128,
    "kv_capacity": 66_897,
    "kv_ttl_s": 0.5,
    "hold_ms": 2000,
    "reconfig_s": 6.0,
    "stride": 11,
    "token_kv_bytes": 18_432,
    "link_mbps": 350_000,
}
PROMPT, OUTPUT = 3_500, 170
EVENT_INTERVAL_S = 0.14
USUAL_INTERVAL_S = 0.1
CLUMP = 13
SILENCE_S = 1.2
CRASH_AFTER_S = 0.95
MAX_MIXED = 2


ROUTE = {
    "name": "mandate-check",
    "host": "desk.example",
    "path_prefix": "/mandate/",
    "route_type": "streaming",
    "timeout_ms": 14_000,
    "target_latency_ms": 900,
    "target_gap_ms": 300,
    "service": "lm-desk",
    "max_attempts": 2,
    "resumable": True,
    "session_affinity": True,
    "priority": 1,
}
SERVICE = {"name": "lm-desk", "engine": ENGINE, "health_path": "/health", "max_conns": 620}


class Client:
    """A client of one stream, which retries once at another machine."""

    def __init__(self, lab: Lab, number: int, prompt: int) -> None:
        self.lab = lab
        self.number = number
        self.prompt = prompt
        self.events: dict[int, str] = {}
        self.first_try = ""
        self.whole = False

    async def run(self) -> None:
        """Send the request, and take the stream up once if it breaks off."""
        vms = list(self.lab.settings)
        for attempt in range(2):
            request = f"{self.number:04x}{attempt:02x}{os.getpid():08x}"
            if not self.events:
                self.first_try = request
            if await self._try(request, self.lab.addresses[vms[(self.number + attempt) % len(vms)]]):
                return
            await asyncio.sleep(0.05)

    async def _try(self, request: str, address: str) -> bool:
        headers = {
            "Request-Id": request,
            "Deadline-Ms": "14000",
            "Model": "m",
            "Token-Count": f"{self.prompt},{OUTPUT}",
            "Prompt-Prefix": f"5c1e07a2:200,{self.number:08x}:{self.prompt - 200}",
            "Length-Hint": str(OUTPUT),
        }
        if self.events:
            headers |= {"Last-Event-Id": str(max(self.events)), "Resumes": self.first_try}
        host, _, port = address.rpartition(":")
        self.lab.note(f"client {self.number} sends {request} to {address}, after event {max(self.events, default=0)}")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(make_request("/mandate/check", headers, b"x" * 600))
        try:
            status, whole, _ = await asyncio.wait_for(read_stream(reader, self._take_event), 14.0)
        except TimeoutError:
            status, whole = 0, False
        writer.close()
        self.whole = whole and status == 200
        self.lab.note(f"client {self.number} got {status}, whole: {whole}, up to event {max(self.events, default=0)}")
        return self.whole

    def _take_event(self, text: str) -> None:
        lines = dict(line.split(": ", 1) for line in text.splitlines() if ": " in line)
        self.events[int(lines["id"])] = lines["data"].split(" ")[0]

    @property
    def versions(self) -> list[str]:
        """Return the software versions that the events of the stream come from."""
        return sorted(set(self.events.values()))


async def play(lab: Lab) -> Verdict:
    """Play the case."""
    lab.start_store()
    await lab.wait_listening(lab.store)
    await lab.put("op/config", make_configuration(1, [ROUTE], SERVICE))
    common = {
        "service": "lm-desk",
        "capacity": 128,
        "kv_tokens": ENGINE["kv_capacity"],
        "stride": ENGINE["stride"],
        "event_interval_s": EVENT_INTERVAL_S,
    }
    lab.start_server("prefill-1", 1, phase="prefill", **common)
    lab.start_server("prefill-2", 2, phase="prefill", **common)
    lab.start_server("prefill-3", 3, phase="prefill", **common)
    lab.start_server("decode-1", 4, phase="decode", **common)
    lab.start_server("decode-2", 5, phase="decode", **common)
    for name in list(lab.addresses):
        await lab.wait_listening(lab.addresses[name])
    lab.start_vms(["kl-a", "kl-a", "kl-a"])
    await lab.wait_ready()
    await asyncio.sleep(2.0)
    clients: list[Client] = []
    tasks: list[asyncio.Task] = []

    def send(prompt: int) -> None:
        clients.append(Client(lab, len(clients), prompt))
        tasks.append(asyncio.ensure_future(clients[-1].run()))

    async def send_usual(count: int) -> None:
        for _ in range(count):
            send(PROMPT)
            await asyncio.sleep(USUAL_INTERVAL_S)

    await send_usual(115)
    # a release begins: the first server of the next version starts
    lab.start_server("decode-3", 6, phase="decode", **{**common, "version": "v2"})
    await send_usual(5)
    if TROUBLE:
        lab.send("decode-3", signal.SIGSTOP)
    usual = asyncio.ensure_future(send_usual(20))
    for _ in range(CLUMP):
        send(PROMPT)
    await asyncio.sleep(CRASH_AFTER_S)
    if TROUBLE:
        lab.send("decode-1", signal.SIGKILL)
    await asyncio.sleep(SILENCE_S - CRASH_AFTER_S)
    if TROUBLE:
        lab.send("decode-3", signal.SIGCONT)
    await usual
    await asyncio.gather(*tasks)
    return judge(lab, clients)


def judge(lab: Lab, clients: list[Client]) -> Verdict:
    """Count the streams that hold events of two software versions."""
    mixed = [one for one in clients if len(one.versions) > 1]
    for one in mixed:
        lab.note(f"client {one.number} has events of {one.versions}: {sorted(one.events.items())}")
    whole = sum(one.whole for one in clients)
    return Verdict(
        f"streams: {len(clients)}, whole: {whole}, with events of two versions: {len(mixed)}",
        is_broken=len(mixed) > MAX_MIXED,
        is_valid=whole > len(clients) / 2,
    )


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
