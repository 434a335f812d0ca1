"""A hall of real processes: entry VMs, engines, a plain service and the platform, behind faulty links."""

from __future__ import annotations

import itertools
import json
import os
import urllib.request
from functools import partial
from typing import TYPE_CHECKING, Any

from tests.support.call import Answer, call
from tests.support.process import Program, order, wait_until

if TYPE_CHECKING:
    from pathlib import Path

_NUMBERS = itertools.count(1)
PEER_PORT = 7411
KV_PORT = 7379
FIRST_HALL = "kl-a"

TIMING = {
    "load_period": 0.1,
    "probe_period": 0.2,
    "probe_timeout": 0.2,
    "suspicion": 1.2,
    "pause_limit": 1.0,
    "balancer_delay": 0.3,
    "first_frame_limit": 1.0,
    "frame_limit": 2.0,
    "config_poll": 1.0,
    "vm_list_period": 0.2,
    "record_limit": 0.5,
    "kv_limit": 0.5,
}


class Hall:
    """All processes of one hall."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.programs: dict[str, Program] = {}
        self.ports: dict[str, int] = {}
        self.admin_ports: dict[str, int] = {}
        self.vms: list[str] = []
        self.halls: dict[str, str] = {}
        self.service_options: dict[str, Any] = {}
        self.peer_tls: dict[str, dict[str, str]] = {}
        self._net = f"127.{os.getpid() % 200 + 20}.{next(_NUMBERS)}"
        self._documents: list[dict[str, Any]] = []
        self._overrides: dict[str, Any] = {}

    # --- starting --------------------------------------------------------------------------------------------------

    def start(
        self,
        vms: int = 3,
        *,
        prefill: int = 2,
        decode: int = 2,
        services: int = 1,
        engine: dict[str, Any] | None = None,
        vm_list: bool = False,
        documents: list[dict[str, Any]] | None = None,
        halls: dict[str, str] | None = None,
        wait: bool = True,
        **overrides: Any,
    ) -> Hall:
        """Start everything and wait until the VMs may grant keys."""
        self.vms = [f"vm-{number}" for number in range(1, vms + 1)]
        self._overrides = overrides
        self.halls = {vm: (halls or {}).get(vm, FIRST_HALL) for vm in self.vms}
        shape = [f"--{name.replace('_', '-')}={value}" for name, value in (engine or {}).items()]
        self._spawn("kv", "beamhatch.standin.kv", [])
        if vm_list:
            self._spawn("vmlist", "beamhatch.standin.vmlist", ["--lag=0.5"])
        for role, count in (("prefill", prefill), ("decode", decode)):
            for number in range(1, count + 1):
                name = f"{role}-{number}"
                self._spawn(name, "beamhatch.standin.engine", [f"--name={name}", f"--role={role}", *shape])
        for number in range(1, services + 1):
            self._spawn(f"service-{number}", "beamhatch.standin.service", [f"--name=service-{number}"])
        kv = f"127.0.0.1:{int(self.programs['kv'].wait_ready()[-1])}"
        pairs = [f"{self.kv_link(hall)}={kv}" for hall in sorted(set(self.halls.values()))]
        pairs += [f"{self._link(vm)}:{PEER_PORT}={self.host(vm)}:{PEER_PORT}" for vm in self.vms]
        self._spawn("links", "beamhatch.standin.link", [f"--link={pair}" for pair in pairs])
        for name, program in self.programs.items():
            self.ports[name] = int((program.ready or program.wait_ready())[-1])
        self._documents = [*self._make_documents(prefill, decode, services), *(documents or [])]
        for vm in self.vms:
            self.start_vm(vm, wait=False)
        for vm in self.vms:
            self._wait_vm(vm)
        if wait:
            self.wait_formed()
        return self

    def start_vm(self, vm: str, *, wait: bool = True) -> None:
        """Start one entry VM, or start it again."""
        path = self.folder / f"{vm}.json"
        path.write_text(json.dumps(self.make_settings(vm)))
        self._spawn(vm, "beamhatch", ["run", f"--settings={path}"])
        if wait:
            self._wait_vm(vm)

    def make_settings(self, vm: str) -> dict[str, Any]:
        """Return the settings of one VM."""
        platform = {"kv": self.kv_link(self.halls[vm])}
        if "vmlist" in self.ports:
            platform["vm_list"] = f"127.0.0.1:{self.ports['vmlist']}"
        peer: dict[str, Any] = {
            "host": self.host(vm),
            "port": PEER_PORT,
            "advertised": f"{self._link(vm)}:{PEER_PORT}",
            **({"tls": self.peer_tls[vm]} if vm in self.peer_tls else {}),
            "seeds": [f"{self._link(other)}:{PEER_PORT}" for other in self.vms],
        }
        settings: dict[str, Any] = {
            "vm": vm,
            "hall": self.halls[vm],
            "caller": {"port": 0},
            "admin": {"port": 0},
            "peer": peer,
            "platform": platform,
            "copies": min(3, list(self.halls.values()).count(self.halls[vm])),
            "timing": TIMING,
            "configuration": self._documents,
        }
        for name, value in self._overrides.items():
            settings[name] = {**settings.get(name, {}), **value} if isinstance(value, dict) else value
        return settings

    def wait_formed(self) -> None:
        """Wait until every running VM knows all others, may grant keys, and has fresh reports."""
        for vm in self.vms:
            wait_until(partial(self._is_formed, vm), f"{vm} is formed")

    def _is_formed(self, vm: str) -> bool:
        status = self.admin(vm, "/status")
        alive = [member for member in status["members"] if member["health"] == "alive"]
        upstreams = self.admin(vm, "/upstreams")
        fresh = all(row["report_age"] is not None for row in upstreams)
        return status["ready"] and status["records_ready"] and len(alive) == self._count_near(vm) and fresh

    def _count_near(self, vm: str) -> int:
        return list(self.halls.values()).count(self.halls[vm])

    def _spawn(self, name: str, module: str, arguments: list[str]) -> None:
        old = self.programs.pop(name, None)
        if old is not None:
            old.close()
        self.programs[name] = Program(module, arguments)

    def _wait_vm(self, vm: str) -> None:
        words = self.programs[vm].wait_ready()
        named = dict(word.split("=", 1) for word in words if "=" in word)
        self.ports[vm] = int(named["caller"])
        self.admin_ports[vm] = int(named["admin"])

    def _make_documents(self, prefill: int, decode: int, services: int) -> list[dict[str, Any]]:
        names = sorted(set(self.halls.values()))
        upstreams = [
            {
                "name": f"{role}-{n}",
                "address": f"127.0.0.1:{self.ports[f'{role}-{n}']}",
                "hall": names[(n - 1) % len(names)],
                "role": role,
            }
            for role, count in (("prefill", prefill), ("decode", decode), ("service", services))
            for n in range(1, count + 1)
        ]
        engines = [item for item in upstreams if item["role"] != "service"]
        replicas = [item for item in upstreams if item["role"] == "service"]
        documents: list[dict[str, Any]] = [{"kind": "workspace", "name": "order-desk", "repeatable": False}]
        if engines:
            documents.append({"kind": "pool", "name": "lm-desk", "model": "lm-desk", "upstreams": engines})
        if replicas:
            pool = {"kind": "pool", "name": "acct-svc", "service": "acct-svc", "upstreams": replicas}
            documents.append({**pool, **self.service_options})
        return documents

    def host(self, vm: str) -> str:
        return f"{self._net}.{self.vms.index(vm) + 1}"

    def kv_link(self, hall: str) -> str:
        """Return the address of the link by which a hall reaches the platform."""
        return f"{self._net}.{201 + sorted(set(self.halls.values())).index(hall)}:{KV_PORT}"

    def _link(self, vm: str) -> str:
        return f"{self._net}.{self.vms.index(vm) + 101}"

    # --- using -----------------------------------------------------------------------------------------------------

    def admin(self, vm: str, path: str, value: Any = None) -> Any:
        """Call a VM's admin API."""
        return order(self.admin_ports[vm], path, value)

    def read_metric(self, vm: str, name: str) -> float:
        """Return a figure without labels."""
        with urllib.request.urlopen(f"http://127.0.0.1:{self.admin_ports[vm]}/metrics", timeout=10) as answer:
            lines = answer.read().decode().splitlines()
        return float(next(line.split()[1] for line in lines if line.startswith(f"{name} ")))

    def judge(self, name: str) -> Any:
        """Return a stand-in's own counts."""
        return order(self.ports[name], "/judge")

    def fault(self, name: str, **faults: Any) -> None:
        """Order faults at a stand-in."""
        order(self.ports[name], "/faults", faults)

    def count_runs(self, kind: str, key: str) -> int:
        """Return how often a key ran, over all upstreams; ``kind`` is prefills, decodes or runs."""
        names = [name for name in self.programs if name.startswith(("prefill-", "decode-", "service-"))]
        alive = [name for name in names if self.programs[name].process.poll() is None]
        return sum(self.judge(name).get(kind, {}).get(key, 0) for name in alive)

    def count_held(self) -> int:
        """Return the KV tokens that all engines hold."""
        names = [name for name in self.programs if name.startswith(("prefill-", "decode-"))]
        return sum(int(self.judge(name)["held_tokens"]) for name in names)

    def wait_nothing_held(self, limit: float = 15.0) -> None:
        """Wait until no engine holds anything."""
        wait_until(lambda: self.count_held() == 0, "engines hold nothing", limit)

    def ask_service(self, vm: str, key: str, value: Any = None, query: str = "", **headers: str) -> Answer:
        """Send an order check, which may run at most once."""
        named = {"Idempotency_Key": key, "Beamhatch_Workspace": "order-desk", **headers}
        return call(self.ports[vm], f"/services/acct-svc/check{query}", value or {"order": key}, **named)

    def cut(self, side: list[str], *, ways: tuple[str, ...] = ("forward", "back"), inbound_only: bool = False) -> None:
        """Cut some VMs off from the rest."""
        rest = [vm for vm in self.vms if vm not in side]
        drops = [self.make_drop(one, other, way) for one in rest for other in side for way in ways]
        if not inbound_only:
            drops += [self.make_drop(one, other, way) for one in side for other in rest for way in ways]
        self.order_links(drops)

    def order_links(self, drops: list[dict[str, str]]) -> None:
        """Replace all faults of the links."""
        order(self.ports["links"], "/set", {"drops": drops})

    def heal(self) -> None:
        """Take all faults of the links away."""
        self.order_links([])

    def make_drop(self, source: str, target: str, way: str) -> dict[str, str]:
        return {"source": self.host(source), "target": f"{self.host(target)}:{PEER_PORT}", "way": way}

    def close(self) -> None:
        """End everything."""
        for program in self.programs.values():
            program.close()
