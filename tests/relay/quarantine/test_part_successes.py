"""Latest successes of parts of prompts."""

from __future__ import annotations

from beamhatch.relay.model import Fingerprint
from beamhatch.relay.quarantine.part_successes import MAX_PARTS, MAX_VERSIONS, PartSuccesses, PartSuccessUpdate

PART = Fingerprint(b"part")


def test_latest_success_counts() -> None:
    successes = PartSuccesses()
    assert successes.record(PART, "v1", 10.0)
    assert not successes.record(PART, "v1", 9.0)
    assert successes.has_since(PART, "v1", 9.5)
    assert not successes.has_since(PART, "v1", 10.0)
    assert not successes.has_since(PART, "v2", 5.0)
    assert successes.has_any(PART)
    assert successes.list_updates([PART, Fingerprint(b"other")], 12.0) == [PartSuccessUpdate(PART, "v1", 2.0)]


def test_parts_used_least_recently_are_dropped_first() -> None:
    successes = PartSuccesses()
    for number in range(MAX_PARTS + 5):
        successes.record(Fingerprint(str(number).encode()), "v1", float(number))
        successes.record(Fingerprint(b"0"), "v1", float(number))
    assert successes.has_any(Fingerprint(b"0"))
    assert not successes.has_any(Fingerprint(b"1"))
    assert successes.has_any(Fingerprint(str(MAX_PARTS + 4).encode()))


def test_number_of_versions_is_bounded() -> None:
    successes = PartSuccesses()
    for number in range(MAX_VERSIONS + 2):
        successes.record(PART, f"v{number}", float(number))
    assert len(successes.list_updates([PART], 100.0)) == MAX_VERSIONS
    assert not successes.has_since(PART, "v0", -1.0)
