"""Decision on retries of a request, within a retry budget for all requests."""

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

# Outcomes after which the request certainly did not run, so a retry is always safe.
SAFE_OUTCOMES: Final = frozenset({SlotOutcome.NOT_STARTED, SlotOutcome.UNSENT})
INTERRUPTED_OUTCOMES: Final = frozenset({SlotOutcome.CHECKPOINTED, SlotOutcome.STOPPED})
# Maximum number of retries that can be saved up.
BURST_MAX: Final = 50.0


class RetryBudget:
    """Token bucket that allows one retry per ``1 / share`` first tries.

    At most ``BURST_MAX`` retries are saved up.  Beyond these, retries raise the load of a
    failing fleet to at most ``1 + share`` times the load of first tries.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = BURST_MAX

    def record_first_try(self) -> None:
        """Add ``share`` of a retry to the budget."""
        self._tokens = min(BURST_MAX, self._tokens + self._share)

    def try_spend(self) -> bool:
        """Spend one retry; return False if the budget holds none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class RetryPolicy:
    """Decide after each try whether to retry, within the retry budget of all requests."""

    def __init__(self, context: EntryContext, settings: EntrySettings) -> None:
        self._context = context
        self._settings = settings
        self._budget = RetryBudget(settings.retry_share)

    def record_first_try(self) -> None:
        """Count the first try of a request towards the retry budget."""
        self._budget.record_first_try()

    def evaluate(
        self, running: RunningRequest, result: TryResult, slot: SlotReply
    ) -> CallerAnswer | None:
        """Return the final answer, or None if another try is safe and allowed."""
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
        """Wait a random time before the next try; its upper limit doubles with each try.

        The upper limit is at most ``backoff_max_s``.
        """
        ceiling_s = min(
            self._settings.backoff_max_s, self._settings.backoff_min_s * 2**running.tries
        )
        await asyncio.sleep(self._context.random.uniform(0, ceiling_s))
