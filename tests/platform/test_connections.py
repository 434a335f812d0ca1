"""The connections that an upstream takes from all VMs together."""

from __future__ import annotations

from tests.support.platform import MODEL, PLAIN, ROUTES, Platform, make_configuration

VMS = 24
MOST = 12
"""Connections that a replica takes; it resets more."""


def test_vms_together_keep_no_more_connections_than_an_upstream_takes() -> None:
    """Each VM keeps a connection to each replica that it used, whatever the service says that a replica takes.

    24 connections where 12 are taken. Nothing reads ``max_conns``: each VM knows its own connections alone. It shows
    once there are more VMs than a replica takes connections, as at the size to design for.
    """
    platform = Platform(names_hosts=True)
    document = make_configuration(1, ROUTES)
    document["services"] = [{"name": PLAIN, "max_conns": MOST}, {"name": MODEL, "max_conns": 600}]
    platform.store.put("op/config", document)
    upstream = platform.add_plain("plain-0")
    for number in range(VMS):
        platform.add_vm(f"vm{number}", ["vm0:8002"])
    platform.network.run_until(lambda: all(vm.core.ready for vm in platform.vms.values()))
    platform.network.run(4.0)
    most = 0
    for number in range(4 * VMS):
        platform.call("/safe/x", f"q{number}", vm=f"vm{number % VMS}")
        platform.network.run(0.1)
        most = max(most, len(upstream._server.connections))
    assert most <= MOST
