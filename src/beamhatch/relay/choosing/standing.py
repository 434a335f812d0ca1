"""What this VM's own traffic shows of each upstream: work under way, load, faults."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamhatch.relay.model import UpstreamId

FAULT_HALF_LIFE = 4.0
"""Seconds after which a fault weighs half."""

FAULT_WEIGHT = 0.25
"""How far one more outcome moves the share of faults."""

FIRST_PAUSE = 0.8
"""Seconds for which a silent upstream is passed over at first; each pause is twice the last."""

LONGEST_PAUSE = 4.0
"""Seconds for which an upstream that does not answer at all is passed over."""

KNOWN_SILENT = 2
"""Silences in a row, without any sign between them, from which on an upstream is known to answer nobody."""

TRIAL_INTERVAL = 0.4
"""Seconds between two requests that still try an upstream which answers nobody: about as long as one waits there.

So callers are refused for no longer than that once it answers again.
"""

FIRST_MISDIRECTED_PAUSE = 2.0
"""Seconds for the first time; each pause is twice the last."""

LONGEST_MISDIRECTED_PAUSE = 30.0
"""Seconds for which an upstream that says that it is another one is passed over."""

BUSY_PAUSE = 0.6
"""Seconds for which an upstream that turned a request away is passed over where there are others."""

HINT_WEIGHT = 0.8
"""How much of what another VM tells of an upstream's faults is believed."""

SILENT_FAULTS = 0.5
"""Share of faults from which on an upstream is taken not to answer: half of its work, of which little is left soon."""

LOAD_LIFE = 0.6
"""Seconds for which a load that an upstream told is believed."""

LATENCY_WEIGHT = 0.15
"""Weight of one more observation in the running mean: the mean is of the last ten or so."""


@dataclass(frozen=True, slots=True)
class Load:
    """What an upstream tells of its load: requests running, waiting, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclass(slots=True)
class Standing:
    """One upstream."""

    running: int = 0
    """Requests of this VM under way there."""
    tokens: int = 0
    """Tokens of these: prompts for prefill, KV memory for decode."""
    reading: int = 0
    """Tokens of this VM's prompts that are still to be read there."""
    latency: float = 0.0
    """Running mean of the seconds of one piece of work; 0 where none ended yet."""
    succeeded_at: float = -1e9
    silent: int = 0
    """Connections refused or unanswered in a row."""
    silent_until: float = -1e9
    tried_at: float = -1e9
    """When this VM sent it something last."""
    misdirected: int = 0
    misdirected_until: float = -1e9
    busy_until: float = -1e9
    lapsed_until: float = -1e9
    """Until when its handles are taken to lapse at once."""
    _faults: float = 0.0
    """By own work and by what other VMs tell."""
    _own_faults: float = 0.0
    """By own work only: this is what other VMs are told."""
    _faults_at: float = 0.0
    _others: int = 0
    _load_at: float = -1e9

    def begin(self, tokens: int, now: float) -> None:
        """Enter work that is sent."""
        self.tried_at = now
        self.running += 1
        self.tokens += tokens

    def begin_life(self) -> None:
        """Forget what its earlier life showed; work of this VM that is still to end there stays counted."""
        fresh = Standing(self.running, self.tokens, self.reading)
        for each in fields(self):
            setattr(self, each.name, getattr(fresh, each.name))

    def is_unreachable(self, now: float) -> bool:
        """Tell whether it is known to answer nobody, and whether it does so still was tried just now."""
        silent = self.silent >= KNOWN_SILENT and now < self.silent_until
        return silent and now - self.tried_at < TRIAL_INTERVAL

    def end(self, tokens: int) -> None:
        """Enter that work ended, however it did."""
        self.running -= 1
        self.tokens -= tokens

    def note_success(self, seconds: float, now: float) -> None:
        """Note that a piece of work was done."""
        self.latency = seconds if not self.latency else self.latency + LATENCY_WEIGHT * (seconds - self.latency)
        self.succeeded_at = now
        self.silent = 0
        self.silent_until = -1e9
        self.misdirected = 0
        self._move_faults(0.0, now)

    def note_alive(self, now: float) -> None:
        """Note that it answers, whatever the answer is."""
        self.silent = 0
        self.silent_until = -1e9
        self.succeeded_at = max(self.succeeded_at, now)

    def note_fault(self, now: float) -> None:
        """Note that it failed a piece of work."""
        self._move_faults(1.0, now)

    def note_silence(self, now: float) -> None:
        """Note that it could not be reached, or did not answer in its time."""
        self._move_faults(1.0, now)
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2**self.silent)
        self.silent += 1
        self.silent_until = now + pause

    def note_busy(self, now: float) -> None:
        """Note that it turned a request away."""
        self.busy_until = now + BUSY_PAUSE

    def note_hint(self, faults: float, now: float) -> None:
        """Take in the share of faults that another VM saw."""
        believed = HINT_WEIGHT * faults
        if believed > self.get_faults(now):
            self._own_faults = self.get_own_faults(now)
            self._faults = believed
            self._faults_at = now

    def note_misdirected(self, now: float) -> None:
        """Note that another upstream has its address."""
        pause = min(LONGEST_MISDIRECTED_PAUSE, FIRST_MISDIRECTED_PAUSE * 2**self.misdirected)
        self.misdirected += 1
        self.misdirected_until = now + pause

    def note_load(self, load: Load, now: float) -> None:
        """Take in what it tells of its load."""
        self._others = max(0, load.running + load.waiting - self.running)
        self._load_at = now

    def count_others(self, now: float) -> float:
        """Return how many requests of other VMs are thought to be there."""
        age = now - self._load_at
        return self._others * max(0.0, 1.0 - age / LOAD_LIFE)

    def get_faults(self, now: float) -> float:
        """Return the share of work that it failed of late."""
        return self._faults * 0.5 ** ((now - self._faults_at) / FAULT_HALF_LIFE)

    def get_own_faults(self, now: float) -> float:
        """Return the share of this VM's own work that it failed of late."""
        return self._own_faults * 0.5 ** ((now - self._faults_at) / FAULT_HALF_LIFE)

    def _move_faults(self, outcome: float, now: float) -> None:
        current = self.get_faults(now)
        own = self.get_own_faults(now)
        self._faults = current + FAULT_WEIGHT * (outcome - current)
        self._own_faults = own + FAULT_WEIGHT * (outcome - own)
        self._faults_at = now


@dataclass(slots=True)
class Standings:
    """All upstreams by id."""

    _standings: dict[UpstreamId, Standing] = field(default_factory=dict)

    def get(self, upstream: UpstreamId) -> Standing:
        """Return the standing of an upstream, a new one where it is not known."""
        standing = self._standings.get(upstream)
        if standing is None:
            standing = self._standings[upstream] = Standing()
        return standing

    def list_faulty(self, least: float, now: float) -> dict[str, float]:
        """Return the upstreams that failed a large enough share of their work, with that share."""
        faults = {str(name): round(one.get_own_faults(now), 2) for name, one in self._standings.items()}
        return {name: share for name, share in faults.items() if share >= least}

    def list_silent(self, now: float) -> set[UpstreamId]:
        """Return the upstreams that do not answer, by own work or by what other VMs tell."""
        return {
            name
            for name, one in self._standings.items()
            if now < one.silent_until or one.get_faults(now) >= SILENT_FAULTS
        }

    def list_reading(self) -> dict[str, int]:
        """Return the tokens of this VM's prompts that are still to be read, by engine."""
        return {str(name): one.reading for name, one in self._standings.items() if one.reading}

    def keep_only(self, wanted: set[UpstreamId]) -> None:
        """Drop upstreams that are gone and have no work."""
        dropped = [name for name, one in self._standings.items() if name not in wanted and not one.running]
        for name in dropped:
            del self._standings[name]
