"""Names of things, each with its own type."""

from __future__ import annotations

from typing import NewType

VmName = NewType("VmName", str)
"""Name of an entry VM, unique in the fleet."""

Boot = NewType("Boot", int)
"""Number of one start of a VM's process; a later start has a higher number. Milliseconds since 1970 at the start."""

HallName = NewType("HallName", str)
"""Name of a hall, a zone that can be cut off from the others."""

UpstreamName = NewType("UpstreamName", str)
"""Name of an engine or of one replica of a plain service."""

RequestId = NewType("RequestId", str)
"""Identity of one caller's request: ``<vm>.<boot>.<number>``."""

RunId = NewType("RunId", str)
"""Identity of one attempt at one stage on an upstream: ``<request>-<stage><attempt>``."""

WorkspaceName = NewType("WorkspaceName", str)
"""Name of a workspace, the customer that a request is counted for."""

PolicyName = NewType("PolicyName", str)
"""Name of a routing policy."""

ChangeId = NewType("ChangeId", str)
"""Identity of one change of the configuration, chosen by whoever asks for it."""

RecordKey = NewType("RecordKey", str)
"""A caller's idempotency key, prefixed by its workspace."""

Sequence = NewType("Sequence", int)
"""Number of an accepted configuration; it only grows."""
