"""Disruptions of the ways on which VMs learn a configuration, each of which ends by itself."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from beamhatch.platform.standin.store import StoreFault
from tests.support.configuration_fleet import HALLS

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from beamhatch.platform.standin.store import StoreBackup
    from tests.support.configuration_fleet import ConfigurationFleet
    from tests.support.network import Network, Transport

DURATION_S = 3.5
"""Seconds that a disruption takes, where it takes time; longer than peers take to give a connection up."""

STORE_DELAY_S = 0.3
"""Seconds that the slow store's messages take each way."""

OPERATORS_DELAY_S = 1.0
"""Seconds after a restore at which operators and upstreams write theirs again."""


class Trouble(ABC):
    """One disruption of a fleet."""

    def __init__(self, draw: random.Random) -> None:
        self.draw = draw

    @abstractmethod
    def strike(self, fleet: ConfigurationFleet) -> None:
        """Begin the disruption, and set the timer that ends it."""

    def _end_later(self, fleet: ConfigurationFleet, seconds: float, *names: str, undo: Callable[[], None]) -> None:
        def end() -> None:
            undo()
            fleet.end(*names)

        fleet.begin(*names)
        fleet.platform.network.callLater(seconds, end)


class Silence(Trouble):
    """Open connections let nothing through for good, without a reset, while new ones work."""

    def strike(self, fleet: ConfigurationFleet) -> None:
        """Silence the connections."""
        fleet.platform.network.silence_connections(self.concerns)
        fleet.touch_all()

    def concerns(self, transport: Transport) -> bool:
        """Return whether a connection goes silent, by one of its ends."""
        return True


class StoreSilence(Silence):
    """All connections to the store go silent."""

    def concerns(self, transport: Transport) -> bool:
        """Return whether this end is the store's."""
        return transport.host == "store"


class WatchSilence(Silence):
    """Only connections on which a watch of the directives waits go silent."""

    prefix = "op%2F"
    """Of the watched keys, as in the query."""

    def concerns(self, transport: Transport) -> bool:
        """Return whether a watch of the keys waits on the connection."""
        exchange = getattr(transport.protocol, "_exchange", None)
        target = "" if exchange is None else exchange.call.target
        return "kv-watch" in target and self.prefix in target


class PeerSilence(Silence):
    """All connections between VMs go silent."""

    def concerns(self, transport: Transport) -> bool:
        """Return whether both ends are VMs."""
        return transport.host.startswith("vm") and transport.peer_host.startswith("vm")


class SomeSilence(Silence):
    """Each connection goes silent with a probability of one half."""

    def concerns(self, transport: Transport) -> bool:
        """Draw."""
        return self.draw.random() < 0.5


class HallCut(Trouble):
    """A hall is cut off from the other halls."""

    def strike(self, fleet: ConfigurationFleet) -> None:
        """Cut, and heal later."""
        hall = self.draw.choice(HALLS)
        inside = fleet.list_hall(hall)
        pairs = [(one, other) for one in inside for other in fleet.platform.vms if other not in inside]
        network = fleet.platform.network
        _cut_between(network, pairs)
        self._end_later(fleet, DURATION_S, *fleet.platform.vms, undo=lambda: _heal_between(network, pairs))


class StoreCut(Trouble):
    """The VMs of one hall that watch the store are cut off from it."""

    def strike(self, fleet: ConfigurationFleet) -> None:
        """Cut, and heal later."""
        hall = fleet.list_hall(self.draw.choice(HALLS))
        names = [name for name in fleet.list_watchers() if name in hall]
        network = fleet.platform.network
        pairs = [(name, "store") for name in names]
        _cut_between(network, pairs)
        self._end_later(fleet, DURATION_S, *names, undo=lambda: _heal_between(network, pairs))


class VmCut(Trouble):
    """A third of the VMs is cut off from all."""

    def strike(self, fleet: ConfigurationFleet) -> None:
        """Cut, and heal later."""
        names = self.draw.sample(sorted(fleet.platform.vms), len(fleet.platform.vms) // 3)
        network = fleet.platform.network
        for name in names:
            network.cut(name)

        def heal() -> None:
            for name in names:
                network.heal(name)

        self._end_later(fleet, DURATION_S, *names, undo=heal)


class Frozen(Trouble):
    """VMs stand still: those of one hall that watch the store."""

    def strike(self, fleet: ConfigurationFleet) -> None:
        """Freeze, and thaw later."""
        hall = fleet.list_hall(self.draw.choice(HALLS))
        names = [name for name in fleet.list_watchers() if name in hall]
        network = fleet.platform.network
        for name in names:
            network.freeze(name)

        def thaw() -> None:
            for name in names:
                network.thaw(name)

        self._end_later(fleet, DURATION_S, *names, undo=thaw)


class Restart(Trouble):
    """Processes of VMs are killed and start again: one in each hall, among them one that watches the store."""

    def strike(self, fleet: ConfigurationFleet) -> None:
        """Restart them."""
        chosen = {self.draw.choice([name for name in fleet.list_watchers() if name in fleet.platform.vms] or ["vm0"])}
        chosen |= {self.draw.choice(fleet.list_hall(hall) or ["vm0"]) for hall in HALLS}
        for name in sorted(chosen & fleet.platform.vms.keys()):
            fleet.restart(name, self.draw.choice([0.1, 0.5, 2.0]), power=self.draw.random() < 0.5)


class RestartOfAll(Trouble):
    """All processes are killed at the same moment, and start again."""

    def strike(self, fleet: ConfigurationFleet) -> None:
        """Restart them."""
        for name in sorted(fleet.platform.vms):
            fleet.restart(name, self.draw.uniform(0.5, 0.8))


class StoreAway(Trouble):
    """The store does not answer, or answers 503 only."""

    def strike(self, fleet: ConfigurationFleet) -> None:
        """Have it away, and back later."""
        store = fleet.platform.store

        def come_back() -> None:
            store.fault = StoreFault.NONE

        store.fault = self.draw.choice([StoreFault.UNRESPONSIVE, StoreFault.UNAVAILABLE])
        if self.draw.random() < 0.5:
            store.abort_connections()
        self._end_later(fleet, DURATION_S, "store", undo=come_back)


class SlowStore(Trouble):
    """What the store sends and gets takes long."""

    def strike(self, fleet: ConfigurationFleet) -> None:
        """Have it slow, and fast again later."""
        network = fleet.platform.network
        usual = network.find_delay

        def find_delay(here: str, there: str) -> float:
            return STORE_DELAY_S if "store" in (here, there) else usual(here, there)

        def speed_up() -> None:
            network.find_delay = usual

        network.find_delay = find_delay
        self._end_later(fleet, DURATION_S, "store", undo=speed_up)


class ForgottenHistory(Trouble):
    """The store ends all watches and forgets its history."""

    def strike(self, fleet: ConfigurationFleet) -> None:
        """Forget."""
        fleet.platform.store.discard_history()
        fleet.touch("store")


class Restore(Trouble):
    """The store is away for a moment and is restored from a backup; operators and upstreams write theirs again."""

    def strike(self, fleet: ConfigurationFleet) -> None:
        """Restore."""
        store = fleet.platform.store
        backup = store.make_backup()
        store.fault = StoreFault.UNRESPONSIVE
        fleet.begin("store")
        fleet.platform.network.callLater(self.draw.uniform(0.2, 1.5), self._restore, fleet, backup)

    def _restore(self, fleet: ConfigurationFleet, backup: StoreBackup) -> None:
        fleet.platform.store.restore(backup)
        fleet.platform.store.fault = StoreFault.NONE
        fleet.platform.network.callLater(OPERATORS_DELAY_S, self._write_again, fleet)

    def _write_again(self, fleet: ConfigurationFleet) -> None:
        fleet.write_again()
        for name in fleet.platform.upstreams:
            fleet.platform.list_again(name)
        fleet.end("store")


def _cut_between(network: Network, pairs: Iterable[tuple[str, str]]) -> None:
    for pair in pairs:
        network.cut_between(*pair)


def _heal_between(network: Network, pairs: Iterable[tuple[str, str]]) -> None:
    for pair in pairs:
        network.heal_between(*pair)


TROUBLES: tuple[type[Trouble], ...] = (
    Silence,
    StoreSilence,
    WatchSilence,
    PeerSilence,
    SomeSilence,
    HallCut,
    StoreCut,
    VmCut,
    Frozen,
    Restart,
    RestartOfAll,
    StoreAway,
    SlowStore,
    ForgottenHistory,
    Restore,
)
