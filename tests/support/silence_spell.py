"""Spells in which sound upstreams fall silent and go on, beside other disruptions."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tests.support.silence_fleet import STEP_S, TIMEOUTS_MS, SilenceFleet
from tests.support.silence_witness import SilenceWitness

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.support.silence_upstreams import RecordingUpstream
    from tests.support.silence_witness import Breach

SPELL_S = 12.0
"""Seconds in which disruptions begin."""

CALM_S = 6.0
"""Seconds of callers behind the last disruption."""

RELEASE_S = 1.0
"""Seconds behind the end of the last request within which all memory is released."""

RATE = 10.0
"""Requests per second that callers send."""

SHARES = (0.2, 0.4, 0.6, 0.8, 1.0)
KINDS = (("plain",), ("prefill",), ("decode",), ("decode",), ("prefill", "decode"), ("plain", "prefill", "decode"))
"""Kinds of upstreams that fall silent together."""


@dataclass
class SilenceSpell:
    """One spell, drawn from a seed."""

    seed: int
    size: int | None = None
    """Number of VMs; drawn if left out."""
    only_silences: bool = False
    """Whether nothing but silences and configurations is drawn."""
    varies_engines: bool = False
    """Whether engines differ in how fast they read prompts and fetch KV caches."""
    lines: list[str] = field(default_factory=list)
    """What was brought about, and when."""

    def __post_init__(self) -> None:
        """Start a fleet."""
        self.rng = random.Random(f"silences of {self.seed}")
        size = self.rng.randint(1, 6)
        self.fleet = SilenceFleet(self.size or size, self.seed, self.varies_engines)
        self.witness = SilenceWitness(self.fleet)

    def play(self) -> list[Breach]:
        """Play the spell, and return the checks that failed."""
        kinds: list[Callable[[], None]] = [self._silence] * 6 + [self._configure, self._add_route]
        if not self.only_silences:
            kinds += [self._fill, self._fill, self._refuse, self._crash, self._hang, self._stop, self._release]
        end = self.fleet.now + SPELL_S
        self._run(1.0)
        while self.fleet.now < end:
            self.rng.choice(kinds)()
            self._run(self.rng.choice([0.05, 0.2, 0.6, 1.5]))
        self._run(CALM_S)
        self._finish()
        return self.witness.finish()

    def _run(self, seconds: float) -> None:
        end = self.fleet.now + seconds
        while self.fleet.now < end - 1e-9:
            if self.rng.random() < RATE * STEP_S:
                self.fleet.send()
            self._step()

    def _step(self) -> None:
        self.fleet.network.run(STEP_S)
        self.fleet.note_ends()
        self.witness.look()

    def _finish(self) -> None:
        """Wait until each request has ended, its caller's time at the most, and for memory to be released."""
        end = max(call.sent_at + call.patience_s for call in self.fleet.calls) + 1.0
        while self.fleet.now < end and any(call.ended_at is None for call in self.fleet.calls):
            self._step()
        release_end = self.fleet.now + RELEASE_S
        while self.fleet.now < release_end:
            self._step()

    # --- disruptions -------------------------------------------------------------------------------------------------

    def _note(self, text: str) -> None:
        self.lines.append(f"{self.fleet.now:9.3f} {text}")

    def _silence(self) -> None:
        kinds, share, seconds = self.rng.choice(KINDS), self.rng.choice(SHARES), self.rng.uniform(0.3, 5.0)
        found = self.fleet.list_upstreams(*kinds)
        chosen = self.rng.sample(found, max(1, round(share * len(found))))
        self._note(f"silent for {seconds:.3f} s: {[one.instance for one in chosen]}")
        for upstream in chosen:
            upstream.pause_for(seconds)

    def _draw(self, *kinds: str) -> RecordingUpstream | None:
        """Return an upstream that listens, if another one of its kind does."""
        kind = self.rng.choice(kinds or ("plain", "prefill", "decode", "decode"))
        found = [one for one in self.fleet.list_upstreams(kind) if one.listening]
        return self.rng.choice(found) if len(found) > 1 else None

    def _configure(self) -> None:
        timeout_ms = self.rng.choice(TIMEOUTS_MS)
        self._note(f"routes time out after {timeout_ms} ms")
        self.fleet.configure(timeout_ms)

    def _add_route(self) -> None:
        self._note("a route is added")
        self.fleet.configure(adds_route=True)

    def _fill(self) -> None:
        share, seconds = self.rng.choice(SHARES), self.rng.uniform(0.5, 3.0)
        engines = [one for one in self.fleet.list_engines() if one.phase == "decode"]
        chosen = self.rng.sample(engines, round(share * len(engines)))
        self._note(f"full for {seconds:.3f} s: {[one.instance for one in chosen]}")
        for engine in chosen:
            self.fleet.fill(engine, seconds)

    def _refuse(self) -> None:
        found, seconds = self._draw(), self.rng.uniform(0.5, 3.0)
        if found is not None:
            self._note(f"{found.instance} refuses all requests for {seconds:.3f} s")
            self.fleet.refuse(found, seconds)

    def _crash(self) -> None:
        found = self._draw()
        if found is not None:
            self._note(f"{found.instance} crashes")
            found.crash()

    def _hang(self) -> None:
        found = self._draw()
        if found is not None:
            self._note(f"{found.instance} hangs for good")
            self.fleet.hang(found)

    def _stop(self) -> None:
        vms = self.fleet.list_serving()
        if len(vms) > 1:
            vm = self.rng.choice(vms)
            self._note(f"{vm} is told to stop")
            self.fleet.stop(vm)

    def _release(self) -> None:
        found = self._draw()
        if found is not None:
            self._note(f"{found.instance} leaves, and another one comes")
            self.fleet.release(found)
