"""Decide at which upstreams a stream may begin, so that its version is known after a restart of all VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from beamhatch.relay.model import Phase

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from beamhatch.relay.model import SoftwareVersion, Upstream, UpstreamId


def exclude_unrecorded(
    usable: list[Upstream],
    unrecorded: Collection[SoftwareVersion],
    list_unavailable: Callable[[], Collection[UpstreamId]],
) -> list[Upstream]:
    """Return the upstreams at which a stream may begin: those of versions that the store has a record of.

    Without an available upstream of such a version all may be used: to serve the stream matters more than to know what
    began it if all VMs end within the time that the record takes.

    :param unrecorded: versions that the store is not known to have a record of
    :param list_unavailable: returns the upstreams that failed, could not be reached or are silent
    """
    if not unrecorded:
        return usable
    recorded = [one for one in usable if one.phase is Phase.PREFILL or one.version not in unrecorded]
    unavailable = list_unavailable()
    has_available = any(one.phase is not Phase.PREFILL and one.id not in unavailable for one in recorded)
    return recorded if has_available else usable
