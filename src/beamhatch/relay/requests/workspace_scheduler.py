"""Which workspace is next where several wait for the same thing, by the tokens that each was served of late.

Every VM keeps it for itself. Nothing waits in here: it is told who waits and who was served, and tells an order.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from beamhatch.relay.workspaces.workspace import WorkspaceName

ACCOUNT_RETENTION_S = 4.0
"""Seconds behind its last request after which a workspace is forgotten: as long as a stream of the measured deployments
holds decode memory.
"""

MAX_LEAD_TOKENS = 30_000.0
"""Tokens by which a workspace may be ahead of that which got the least, so that a surge is not paid for as long again:
some six prompts of the measured deployments.
"""

QUANTUM_TOKENS = 3000.0
"""Tokens that each workspace is given in one round, about one prompt of the measured deployments."""


class WorkspaceScheduler(ABC):
    """The order in which workspaces get turns."""

    @abstractmethod
    def record_served(self, owner: WorkspaceName | None, tokens: int, now: float) -> None:
        """Enter that a request got what it asked for, whether it waited or not."""

    @abstractmethod
    def rank(self, owners: Iterable[WorkspaceName | None], now: float) -> Sequence[WorkspaceName | None]:
        """Return those that wait, the next one first."""

    @abstractmethod
    def compute_lead(self, owner: WorkspaceName | None, other: WorkspaceName | None, now: float) -> float:
        """Return by how many tokens one is ahead of another; 0 where the order does not go by that."""


class FifoScheduler(WorkspaceScheduler):
    """Makes no difference between workspaces, so that whoever came first is next."""

    def record_served(self, owner: WorkspaceName | None, tokens: int, now: float) -> None:
        """Take no notice."""

    def rank(self, owners: Iterable[WorkspaceName | None], now: float) -> Sequence[WorkspaceName | None]:
        """Return nobody: all are alike."""
        return ()

    def compute_lead(self, owner: WorkspaceName | None, other: WorkspaceName | None, now: float) -> float:
        """Return 0."""
        return 0.0


@dataclass(slots=True)
class _Account:
    """What one workspace was served."""

    tokens: float
    """By the count that all have in common."""
    served_at: float
    """When it was served last."""


@dataclass(slots=True)
class StartTimeFairScheduler(WorkspaceScheduler):
    """Start-time fair queueing: next is the workspace that was served the fewest tokens.

    One that comes anew begins where the one with the fewest is, so that nobody saves up turns by being silent. On a
    played VM whose places bear 5 requests a second, with four workspaces of which one sends 2, 4 and 8 times its usual
    request a second, the others got 0.86, 0.80 and 0.79 of theirs in time; first come first served 0.83, 0.61 and 0.42,
    in rounds 0.82, 0.66 and 0.51 (means of five plays).
    """

    _accounts: dict[WorkspaceName | None, _Account] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return how many workspaces are known."""
        return len(self._accounts)

    def record_served(self, owner: WorkspaceName | None, tokens: int, now: float) -> None:
        """Move a workspace on by its tokens, but not further ahead than may be."""
        least = self._compute_min_tokens(now)
        account = self._accounts.setdefault(owner, _Account(least, now))
        account.tokens = max(account.tokens, least) + tokens
        account.served_at = now
        limit = self._compute_min_tokens(now) + MAX_LEAD_TOKENS
        for each in self._accounts.values():
            each.tokens = min(each.tokens, limit)

    def rank(self, owners: Iterable[WorkspaceName | None], now: float) -> Sequence[WorkspaceName | None]:
        """Return those with the fewest tokens first."""
        least = self._compute_min_tokens(now)
        return sorted(dict.fromkeys(owners), key=lambda owner: self._get_tokens(owner, least))

    def compute_lead(self, owner: WorkspaceName | None, other: WorkspaceName | None, now: float) -> float:
        """Return by how many tokens one is ahead of another."""
        least = self._compute_min_tokens(now)
        return self._get_tokens(owner, least) - self._get_tokens(other, least)

    def _get_tokens(self, owner: WorkspaceName | None, least: float) -> float:
        account = self._accounts.get(owner)
        return least if account is None else account.tokens

    def _compute_min_tokens(self, now: float) -> float:
        """Return the fewest tokens of those that were served of late; forget the others."""
        for owner in [
            owner for owner, account in self._accounts.items() if now - account.served_at > ACCOUNT_RETENTION_S
        ]:
            del self._accounts[owner]
        return min((account.tokens for account in self._accounts.values()), default=0.0)


@dataclass(slots=True)
class DeficitRoundRobinScheduler(WorkspaceScheduler):
    """Deficit round robin: workspaces take turns, each as soon as its rounds have paid for what it was served."""

    _accounts: dict[WorkspaceName | None, _Account] = field(default_factory=dict)
    """What each has left, that which was served longest ago first."""

    def __len__(self) -> int:
        """Return how many workspaces are known."""
        return len(self._accounts)

    def record_served(self, owner: WorkspaceName | None, tokens: int, now: float) -> None:
        """Take the tokens off what a workspace has left, after rounds for all that bring it into credit."""
        self._evict_idle(now)
        account = self._accounts.pop(owner, None) or _Account(0.0, now)
        rounds = _count_rounds(account)
        for each in self._accounts.values():
            each.tokens = min(0.0, each.tokens + rounds * QUANTUM_TOKENS)
        account.tokens = max(-MAX_LEAD_TOKENS, account.tokens + rounds * QUANTUM_TOKENS - tokens)
        account.served_at = now
        self._accounts[owner] = account

    def rank(self, owners: Iterable[WorkspaceName | None], now: float) -> Sequence[WorkspaceName | None]:
        """Return those first that need the fewest rounds, and among them by their place in the ring."""
        self._evict_idle(now)
        waiting = set(owners)
        known = [owner for owner in self._accounts if owner in waiting]
        unknown = [owner for owner in dict.fromkeys(owners) if owner not in self._accounts]
        return unknown + sorted(known, key=lambda owner: _count_rounds(self._accounts[owner]))

    def compute_lead(self, owner: WorkspaceName | None, other: WorkspaceName | None, now: float) -> float:
        """Return by how many tokens one is ahead of another."""
        self._evict_idle(now)
        ours, theirs = self._accounts.get(owner), self._accounts.get(other)
        return (theirs.tokens if theirs else 0.0) - (ours.tokens if ours else 0.0)

    def _evict_idle(self, now: float) -> None:
        self._accounts = {
            owner: account
            for owner, account in self._accounts.items()
            if now - account.served_at <= ACCOUNT_RETENTION_S
        }


def _count_rounds(account: _Account) -> int:
    """Return the rounds after which a workspace has paid for what it was served."""
    return max(0, math.ceil(-account.tokens / QUANTUM_TOKENS))
