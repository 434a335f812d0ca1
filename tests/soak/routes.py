"""Routes whose kinds change while requests are open, and how often a request may run then."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from tests.soak.promise import CONFIGURATION_BOUND, ROUTE_TIMEOUT

if TYPE_CHECKING:
    from collections.abc import Callable

LONGER_TIMEOUT = ROUTE_TIMEOUT + 0.5
"""Seconds after which routes time out whose requests may run again."""


class Layout(Enum):
    """Whether requests of the shorter prefix may run again, and those of the longer one; None without that route."""

    SHORT_REPEATS = (True, None)
    SHORT_ONCE = (False, None)
    LONG_REPEATS = (False, True)
    LONG_ONCE = (True, False)

    @property
    def may_repeat(self) -> bool:
        """Return whether requests of the longer prefix may run again."""
        short, long = self.value
        return short if long is None else long


@dataclass(frozen=True, slots=True)
class RouteFamily:
    """A prefix, and a longer one below it that has a route of its own at times."""

    prefix: str
    service: str
    streams: bool = False

    @property
    def path(self) -> str:
        """Return the longer prefix, below which all requests are."""
        return f"{self.prefix}once/"

    def list_routes(self, layout: Layout, make_route: Callable[..., dict[str, object]]) -> list[dict[str, object]]:
        """Return the routes of a layout."""
        prefixes = zip((self.prefix, self.path), layout.value, strict=True)
        return [self._make_route(prefix, repeats, make_route) for prefix, repeats in prefixes if repeats is not None]

    def _make_route(
        self, prefix: str, repeats: bool, make_route: Callable[..., dict[str, object]]
    ) -> dict[str, object]:
        name = f"r-{prefix.strip('/').replace('/', '-')}"
        timeout_ms = round(1000 * (LONGER_TIMEOUT if repeats else ROUTE_TIMEOUT))
        attempts = 2 if repeats else 1
        if self.streams:
            kind, changes = "streaming", {"resumable": repeats}
        else:
            kind, changes = "safe" if repeats else "unsafe", {}
        return make_route(
            prefix, kind, self.service, name=name, timeout_ms=timeout_ms, max_attempts=attempts, **changes
        )


@dataclass(slots=True)
class RepeatHistory:
    """Whether requests of some paths may run again, by each version of the configuration."""

    _times: list[float] = field(default_factory=list)
    """Seconds of the run at which the store had each version."""
    _repeatable: list[frozenset[str]] = field(default_factory=list)
    """Paths whose requests may run again, by each version."""

    def record(self, at: float, repeatable: frozenset[str]) -> None:
        """Record a version."""
        self._times.append(at)
        self._repeatable.append(repeatable)

    def must_run_once(self, path: str, sent_at: float, arrived_at: float, *, in_touch: bool) -> bool:
        """Return whether no version may have admitted a request that lets it run again.

        :param arrived_at: when it first arrived at an upstream; its VM had admitted it by then
        :param in_touch: whether its VM knew each version in time
        """
        last = bisect_right(self._times, arrived_at)
        known_at = sent_at - CONFIGURATION_BOUND if in_touch else float("-inf")
        first = max(0, bisect_right(self._times, known_at) - 1)
        return not any(path in repeatable for repeatable in self._repeatable[first:last])
