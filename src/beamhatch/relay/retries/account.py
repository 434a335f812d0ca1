"""Count which sends of one request are retries, which need the service's budget for retries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from beamhatch.relay.model import Stage

if TYPE_CHECKING:
    from beamhatch.relay.retries.budget import RetryBudget


@dataclass(slots=True)
class RetryAccount:
    """The sends of one request, as far as the budget is concerned.

    The first prompt that an engine takes up is no arrival at the service; a prompt that is rejected is one.
    """

    prompts: int = 0
    """Number of times that the prompt was sent, or could not be."""
    _rejected_prompts: int = 0
    _counted_prompts: int = 0
    """Number of times that sending the prompt was counted as a retry."""
    _others_sent: bool = False
    """True once anything but a prompt was sent; the next such send is a retry."""
    _granted: int = 0
    """Retries that were counted before they are made."""
    _granted_at: float = 0.0
    """Monotonic time in seconds at which these were counted."""

    def acquire(self, stage: Stage | None, budget: RetryBudget, vm_count: int, now: float) -> bool:
        """Return whether the budget allows the next step.

        :param stage: what the step sends, None if it only reserves memory
        """
        if self._granted:
            return True
        needs_budget = stage is not None and self._is_retry(stage)
        return not needs_budget or budget.allows(now, vm_count)

    def acquire_all(self, stage: Stage | None, budget: RetryBudget, vm_count: int, now: float) -> bool:
        """Return whether the budget allows all sends up to the end, which it counts in advance with the first one.

        This is for a request that leaves a silent upstream: others leave the same one at the same time, and would rely
        on the same rest of the budget.

        :param stage: what the next step sends, None if it only reserves memory
        """
        if self._granted:
            return True
        is_last = stage is not None and stage is not Stage.PREFILL
        count = 1 if is_last or not self.prompts else 2
        if not budget.allows(now, vm_count, count):
            return False
        if stage is not None:
            budget.record_retry(now, count)
            self._granted, self._granted_at = count, now
        return True

    def record_sent(self, stage: Stage, budget: RetryBudget, now: float) -> None:
        """Record a send, and count it if it is a retry."""
        if self._is_retry(stage):
            self._counted_prompts += stage is Stage.PREFILL
            if self._granted:
                self._granted -= 1
            else:
                budget.record_retry(now)
        if stage is Stage.PREFILL:
            self.prompts += 1
        else:
            self._others_sent = True

    def record_prompt_unreachable(self) -> None:
        """Record that the engine could not be reached that the prompt was for."""
        self.prompts += 1

    def record_prompt_rejected(self, budget: RetryBudget, now: float) -> None:
        """Record that an engine rejected the prompt, and count that as a retry if the request arrived before."""
        self._rejected_prompts += 1
        if self._others_sent and self._rejected_prompts > self._counted_prompts:
            self._counted_prompts += 1
            budget.record_retry(now)

    def forget_granted(self) -> None:
        """Ask the budget again for what was counted in advance, as another upstream is silent."""
        self._granted = 0

    def return_granted(self, budget: RetryBudget) -> None:
        """Take back the retries that were counted in advance and not made."""
        count, self._granted = self._granted, 0
        budget.withdraw_retry(self._granted_at, count)

    def _is_retry(self, stage: Stage) -> bool:
        if stage is Stage.PREFILL:
            return self.prompts > 0
        return self._others_sent or self._rejected_prompts > self._counted_prompts
