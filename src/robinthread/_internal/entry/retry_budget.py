"""Whether a request gets another try, and how many all requests may get."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from robinthread._internal.dispatch.slot_outcome import SlotOutcome
from robinthread._internal.entry.caller_answer import CallerAnswer
from robinthread._internal.entry.refusal_answers import make_cancelled_answer, make_refusal_answer
from robinthread._internal.entry.running_request import RunningRequest
from robinthread._internal.entry.try_result import TryResult
from robinthread._internal.peers.messages import SlotReply
from robinthread._internal.results import ResultCode
from robinthread._internal.settings.entry_settings import EntrySettings

if TYPE_CHECKING:
    from robinthread._internal.entry.entry_service import EntryContext

SAFE_OUTCOMES: Final = frozenset({SlotOutcome.NOT_STARTED, SlotOutcome.UNSENT})
INTERRUPTED_OUTCOMES: Final = frozenset({SlotOutcome.CHECKPOINTED, SlotOutcome.STOPPED})
BURST_MAX: Final = 50.0


class RetryBudget:
    """Allow a retry for each ``1 / share`` first tries, with a small burst.

    A failing fleet so gets at most ``1 + share`` times its load.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = BURST_MAX

    def record_first_try(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(BURST_MAX, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Spend a retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryPolicy:
    """Judge tries that ended, within a budget of retries for all requests."""

    def __init__(self, context: EntryContext, settings: EntrySettings) -> None:
        self._context = context
        self._settings = settings
        self._budget = RetryBudget(settings.retry_share)

    def record_first_try(self) -> None:
        """Count a request towards the budget of retries."""
        self._budget.record_first_try()

    def evaluate(
        self, running: RunningRequest, result: TryResult, slot: SlotReply
    ) -> CallerAnswer | None:
        """Return the final answer, or None where another try is safe and allowed."""
        if result.outcome is SlotOutcome.RAN:
            return CallerAnswer(ResultCode.RAN, result.body)
        if result.outcome is SlotOutcome.UNUSED:
            return make_refusal_answer(running, result.code, 0.0)
        is_safe = result.outcome in SAFE_OUTCOMES
        if not is_safe:
            running.may_have_run = result
        if running.is_cancelled:
            return make_cancelled_answer(running)
        is_stopped = result.outcome is SlotOutcome.STOPPED
        if result.outcome in INTERRUPTED_OUTCOMES and (
            running.request.is_repeatable or not is_stopped
        ):
            running.checkpoint = result.body
            return None
        if not is_safe and not running.request.is_repeatable:
            return CallerAnswer(result.code, result.body)
        running.avoid = (*running.avoid, slot.host)
        if running.tries >= self._settings.tries_max or not self._budget.try_spend():
            return make_refusal_answer(running, ResultCode.RETRY_BUDGET_SPENT, 1.0)
        self._context.counters.add("retries")
        return None

    async def back_off(self, running: RunningRequest) -> None:
        """Wait before the next try, longer after each one."""
        ceiling_s = min(
            self._settings.backoff_max_s, self._settings.backoff_min_s * 2**running.tries
        )
        await asyncio.sleep(self._context.random.uniform(0, ceiling_s))
