"""Order workspaces that wait for the same resource by the tokens that each was served recently.

Each VM schedules independently. A scheduler has no queue: it counts the tokens served and ranks the given workspaces.
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
"""Seconds after a workspace was last served at which its account is deleted.

About as long as a stream holds decode memory.
"""

MAX_LEAD_TOKENS = 30_000.0
"""Maximum number of tokens by which a workspace's account is ahead; bounds how long a past burst delays it.

Some six prompts.
"""

QUANTUM_TOKENS = 3000.0
"""Tokens that each workspace is credited in one round.

About one prompt.
"""


class WorkspaceScheduler(ABC):
    """A policy for the order in which workspaces are served.

    A workspace of None stands for all requests without a workspace.
    """

    @abstractmethod
    def record_served(self, owner: WorkspaceName | None, tokens: int, now: float) -> None:
        """Record that a request of a workspace was served, whether it waited or not."""

    @abstractmethod
    def rank(self, owners: Iterable[WorkspaceName | None], now: float) -> Sequence[WorkspaceName | None]:
        """Return the waiting workspaces, the next one first, or an empty sequence if none is preferred."""

    @abstractmethod
    def compute_lead(self, owner: WorkspaceName | None, other: WorkspaceName | None, now: float) -> float:
        """Return how many more tokens ``owner`` was served than ``other``; 0 if the policy does not count tokens."""


class FifoScheduler(WorkspaceScheduler):
    """First in, first out: requests are served by arrival, whatever their workspace."""

    def record_served(self, owner: WorkspaceName | None, tokens: int, now: float) -> None:
        """Do nothing."""

    def rank(self, owners: Iterable[WorkspaceName | None], now: float) -> Sequence[WorkspaceName | None]:
        """Return an empty sequence, since no workspace is preferred."""
        return ()

    def compute_lead(self, owner: WorkspaceName | None, other: WorkspaceName | None, now: float) -> float:
        """Return 0."""
        return 0.0


@dataclass(slots=True)
class _Account:
    """The tokens that one workspace was served."""

    tokens: float
    """Tokens served, where a new workspace starts at the lowest count of the others.

    In deficit round robin, the credit instead, which is negative while the workspace is in debt.
    """
    served_at: float
    """Monotonic time in seconds at which it was last served."""


@dataclass(slots=True)
class StartTimeFairScheduler(WorkspaceScheduler):
    """Start-time fair queueing: the workspace that was served the fewest tokens is next.

    A new workspace starts at the lowest count, so that none gains precedence by being idle.
    """

    _accounts: dict[WorkspaceName | None, _Account] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of workspaces with an account."""
        return len(self._accounts)

    def record_served(self, owner: WorkspaceName | None, tokens: int, now: float) -> None:
        """Add the tokens to the workspace's count, limited to ``MAX_LEAD_TOKENS`` above the lowest."""
        min_tokens = self._compute_min_tokens(now)
        account = self._accounts.setdefault(owner, _Account(min_tokens, now))
        account.tokens = max(account.tokens, min_tokens) + tokens
        account.served_at = now
        limit = self._compute_min_tokens(now) + MAX_LEAD_TOKENS
        for each in self._accounts.values():
            each.tokens = min(each.tokens, limit)

    def rank(self, owners: Iterable[WorkspaceName | None], now: float) -> Sequence[WorkspaceName | None]:
        """Return the workspaces ordered by their tokens, the fewest first."""
        min_tokens = self._compute_min_tokens(now)
        return sorted(dict.fromkeys(owners), key=lambda owner: self._get_tokens(owner, min_tokens))

    def compute_lead(self, owner: WorkspaceName | None, other: WorkspaceName | None, now: float) -> float:
        """Return how many more tokens ``owner`` was served than ``other``."""
        min_tokens = self._compute_min_tokens(now)
        return self._get_tokens(owner, min_tokens) - self._get_tokens(other, min_tokens)

    def _get_tokens(self, owner: WorkspaceName | None, min_tokens: float) -> float:
        account = self._accounts.get(owner)
        return min_tokens if account is None else account.tokens

    def _compute_min_tokens(self, now: float) -> float:
        """Delete idle accounts, and return the fewest tokens of the remaining ones."""
        for owner in [
            owner for owner, account in self._accounts.items() if now - account.served_at > ACCOUNT_RETENTION_S
        ]:
            del self._accounts[owner]
        return min((account.tokens for account in self._accounts.values()), default=0.0)


@dataclass(slots=True)
class DeficitRoundRobinScheduler(WorkspaceScheduler):
    """Deficit round robin: the workspace that needs the fewest rounds of credit to be out of debt is next."""

    _accounts: dict[WorkspaceName | None, _Account] = field(default_factory=dict)
    """The credit of each workspace, in order of the time it was last served, the earliest first."""

    def __len__(self) -> int:
        """Return the number of workspaces with an account."""
        return len(self._accounts)

    def record_served(self, owner: WorkspaceName | None, tokens: int, now: float) -> None:
        """Credit all workspaces until this one is out of debt, then deduct the tokens from its credit."""
        self._evict_idle(now)
        account = self._accounts.pop(owner, None) or _Account(0.0, now)
        rounds = _count_rounds(account)
        for each in self._accounts.values():
            each.tokens = min(0.0, each.tokens + rounds * QUANTUM_TOKENS)
        account.tokens = max(-MAX_LEAD_TOKENS, account.tokens + rounds * QUANTUM_TOKENS - tokens)
        account.served_at = now
        self._accounts[owner] = account

    def rank(self, owners: Iterable[WorkspaceName | None], now: float) -> Sequence[WorkspaceName | None]:
        """Return workspaces without an account first, then the others by the rounds until they are out of debt.

        Those with the same number of rounds are ordered by the time they were last served, the earliest first.
        """
        self._evict_idle(now)
        waiting = set(owners)
        known = [owner for owner in self._accounts if owner in waiting]
        unknown = [owner for owner in dict.fromkeys(owners) if owner not in self._accounts]
        return unknown + sorted(known, key=lambda owner: _count_rounds(self._accounts[owner]))

    def compute_lead(self, owner: WorkspaceName | None, other: WorkspaceName | None, now: float) -> float:
        """Return how many more tokens ``owner`` was served than ``other``."""
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
    """Return the number of rounds after which the account is no longer in debt."""
    return max(0, math.ceil(-account.tokens / QUANTUM_TOKENS))
