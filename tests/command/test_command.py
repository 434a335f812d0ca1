"""The daemon's command line, the operators' tool, tokens and TLS."""

from __future__ import annotations

import hashlib
import json
import socket
import subprocess
import sys
import urllib.request
from typing import TYPE_CHECKING, Any

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from tests.support.call import call, complete
from tests.support.process import Program, wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from tests.support.hall import Hall


def run_module(module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, "-m", module, *arguments], capture_output=True, text=True, timeout=30)


def run_tool(hall: Hall, vm: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    return run_module("beamhatch.tool", "--admin", f"http://127.0.0.1:{hall.admin_ports[vm]}", *arguments)


def test_check_exits_with_0_or_2_and_every_problem(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    good.write_text('{"vm": "v", "hall": "h"} // fine')
    bad.write_text('{"vm": "v", "hall": "h",\n "x": 1, "copies": 0}')
    assert run_module("beamhatch", "check", "--settings", str(good)).returncode == 0
    result = run_module("beamhatch", "check", "--settings", str(bad))
    assert result.returncode == 2
    assert len(result.stderr.splitlines()) == 2
    assert run_module("beamhatch", "check", "--settings", str(tmp_path / "none")).returncode == 2


def test_a_port_in_use_is_one_line_and_exit_2(tmp_path: Path) -> None:
    path = tmp_path / "s.json"
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        path.write_text(json.dumps({"vm": "v", "hall": "h", "caller": {"port": port}, "admin": {"port": 0}}))
        result = run_module("beamhatch", "run", "--settings", str(path))
    assert result.returncode == 2
    assert result.stderr.splitlines()[-1].startswith(f"beamhatchd: can't listen on 127.0.0.1:{port}")
    assert "Traceback" not in result.stderr


def test_standalone_serves_its_line_and_compares_policies() -> None:
    program = Program("beamhatch", ["standalone", "--caller-port=0", "--admin-port=0"])
    try:
        named = dict(word.split("=", 1) for word in program.wait_ready() if "=" in word)
        port, admin = int(named["caller"]), f"http://127.0.0.1:{named['admin']}"
        wait_until(lambda: call(port, "/readyz", method="GET").status == 200, "it is ready")
        wait_until(lambda: complete(port, "first", 2).status == 200, "it serves")
        for number in range(40):
            assert complete(port, f"p{number}", 2, stream=True).status == 200
        assert run_module("beamhatch.tool", "--admin", admin, "policy", "promote", "naive").returncode == 0
        for number in range(40):
            assert complete(port, f"q{number}", 2, stream=True).status == 200
        result = run_module("beamhatch.tool", "--admin", admin, "compare", "predicted", "naive", "--json")
        value = json.loads(result.stdout)
        assert [row["requests"] for row in value["policies"]] == [41, 40]
        assert value["goodput"] == "no_difference_seen"
        assert {row["compared"] for row in value["same_requests"]} == {"naive", "predicted"}
    finally:
        program.close()


def test_the_tool_shows_and_changes_and_its_exit_codes_say_how_it_went(hall: Hall, tmp_path: Path) -> None:
    hall.start(vms=1, prefill=1, decode=1, services=1)
    assert run_module("beamhatch.tool", "--admin", "http://127.0.0.1:1", "status").returncode == 3
    assert "alive" in run_tool(hall, "vm-1", "status").stdout
    assert "prefill-1" in run_tool(hall, "vm-1", "upstreams").stdout
    assert json.loads(run_tool(hall, "vm-1", "requests", "--json").stdout) == []
    request = complete(hall.ports["vm-1"], "p", 2).headers["Beamhatch-Request"]
    assert "transfer" in run_tool(hall, "vm-1", "trace", request).stdout
    assert run_tool(hall, "vm-1", "trace", "nobody").returncode == 1
    put = run_tool(hall, "vm-1", "policy", "put", "careful", "--algorithm", "predicted", "--set", "trust=0.2")
    assert (put.returncode, put.stdout.split()[:4]) == (0, ["accepted", "as", "sequence", "1"])
    assert run_tool(hall, "vm-1", "slice", "set", "all", "--policy", "careful", "--rank", "0").returncode == 0
    assert run_tool(hall, "vm-1", "policy", "withdraw", "careful").returncode == 1
    assert run_tool(hall, "vm-1", "policy", "put", "x", "--algorithm", "worst").returncode == 1
    document = tmp_path / "w.json"
    document.write_text('{"kind": "workspace", "name": "night", /* slow */ "priority": "low"}')
    changed = run_tool(hall, "vm-1", "config", "put", str(document), "--change", "c9", "--reason", "nights")
    assert changed.returncode == 0
    assert json.loads(run_tool(hall, "vm-1", "config", "get", "workspace/night").stdout)["priority"] == "low"
    assert "nights" in run_tool(hall, "vm-1", "config", "history").stdout
    assert run_tool(hall, "vm-1", "config", "status", "--change", "c9").returncode == 0
    document.write_text('{"kind": "workspace", "nmae": "night"}')
    assert run_tool(hall, "vm-1", "config", "put", str(document)).returncode == 2
    assert "complete -F" in run_tool(hall, "vm-1", "completion").stdout


def test_tokens_allow_their_verbs_and_workspaces_only(hall: Hall, tmp_path: Path) -> None:
    def token(name: str, **extra: Any) -> dict[str, Any]:
        return {"operator": name, "digest": hashlib.sha256(name.encode()).hexdigest(), **extra}

    tokens = [token("reader"), token("desk", workspaces=["desk"], verbs=["read", "write"])]
    settings = tmp_path / "s.json"
    settings.write_text(
        json.dumps({"vm": "v", "hall": "h", "copies": 1, "caller": {"port": 0}, "admin": {"port": 0, "tokens": tokens}})
    )
    program = Program("beamhatch", ["run", f"--settings={settings}"])
    try:
        named = dict(word.split("=", 1) for word in program.wait_ready() if "=" in word)
        port = int(named["admin"])

        def put(operator: str, name: str) -> int:
            value = {"documents": [{"kind": "workspace", "name": name}]}
            return call(port, "/config", value, Authorization=f"Bearer {operator}").status

        assert call(port, "/status", method="GET").status == 401
        assert call(port, "/metrics", method="GET", Authorization="Bearer wrong").status == 401
        assert call(port, "/status", method="GET", Authorization="Bearer reader").status == 200
        assert (put("reader", "desk"), put("desk", "other"), put("desk", "desk")) == (403, 403, 200)
        assert "desk" not in program.read_log().replace("operator=desk", "")
    finally:
        program.close()


@pytest.fixture
def authority(tmp_path: Path) -> Any:
    """Return a function that writes certificates of one authority."""
    import datetime

    now = datetime.datetime.now(datetime.UTC)
    root_key = ec.generate_private_key(ec.SECP256R1())
    root_name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "root")])

    def sign(name: str, key: Any, *, is_root: bool = False) -> x509.Certificate:
        subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        builder = x509.CertificateBuilder().subject_name(subject).issuer_name(root_name).public_key(key.public_key())
        builder = builder.serial_number(x509.random_serial_number()).not_valid_before(now - datetime.timedelta(1))
        builder = builder.not_valid_after(now + datetime.timedelta(1))
        builder = builder.add_extension(x509.BasicConstraints(ca=is_root, path_length=None), critical=True)
        return builder.sign(root_key, hashes.SHA256())

    root = tmp_path / "root.pem"
    root.write_bytes(sign("root", root_key, is_root=True).public_bytes(serialization.Encoding.PEM))

    def write(name: str) -> dict[str, str]:
        key = ec.generate_private_key(ec.SECP256R1())
        files = {"certificate": tmp_path / f"{name}.crt", "key": tmp_path / f"{name}.key"}
        files["certificate"].write_bytes(sign(name, key).public_bytes(serialization.Encoding.PEM))
        plain = serialization.NoEncryption()
        pem = key.private_bytes(serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, plain)
        files["key"].write_bytes(pem)
        return {"authorities": str(root), **{part: str(file) for part, file in files.items()}}

    return write


def test_peers_accept_only_the_peer_that_its_certificate_names(hall: Hall, authority: Any) -> None:
    hall.peer_tls = {"vm-1": authority("vm-1"), "vm-2": authority("vm-2"), "vm-3": authority("vm-9")}
    hall.start(vms=3, services=0, wait=False)
    wait_until(lambda: len(hall.admin("vm-1", "/status")["members"]) == 2, "two are members")
    for vm in ("vm-1", "vm-2"):
        assert [member["vm"] for member in hall.admin(vm, "/status")["members"]] == ["vm-1", "vm-2"]
    wait_until(lambda: "bad frame" in hall.programs["vm-1"].read_log(), "the wrong name is refused")
    plain = socket.create_connection((hall.host("vm-1"), 7411), timeout=5)
    plain.sendall(b"\x97\x01\x01\xa4vm-2")
    plain.settimeout(5)
    assert plain.recv(100)[:1] in (b"", b"\x15")
    plain.close()
    assert complete(hall.ports["vm-1"], "served", 2).status == 200


def test_standalone_serves_the_platforms_requests_between_stand_ins() -> None:
    program = Program("beamhatch", ["standalone", "--platform", "--caller-port=0"])
    try:
        named = dict(word.split("=", 1) for word in program.wait_ready() if "=" in word)
        headers = {"Host": "desk.example", "Request-Id": "q1", "Token-Count": "5000,20"}
        request = urllib.request.Request(f"http://127.0.0.1:{named['caller']}/checks/x", headers=headers)
        with urllib.request.urlopen(request, timeout=10) as answer:
            events = [line for line in answer.read().split(b"\n") if line.startswith(b"id: ")]
        assert events == [b"id: %d" % number for number in range(1, 21)]
    finally:
        program.close()
