"""Turns of appends in the stand-in of the store, one at a time in each partition."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Final

from robinthread._internal.durable.errors import StoreNoAnswerError, StoreRefusedError
from robinthread._internal.durable.store import Partition
from robinthread._internal.standins.call_faults import run_discarding_result

TURN_WAIT_MAX_S: Final = 2.0


class AppendTurns:
    """Processes the appends of each partition one at a time, each in ``append_duration_s``.

    An append that would wait longer than ``TURN_WAIT_MAX_S`` is refused.  ``counts`` counts the
    appends that were given a turn, by topic.
    """

    def __init__(self) -> None:
        self.append_duration_s = 0.0
        self.counts: Counter[str] = Counter()
        self._done_at_s: dict[Partition, float] = {}

    async def wait(
        self,
        partition: Partition,
        work: Callable[[], object],
        timeout_s: float,
        latency_s: float = 0.0,
    ) -> None:
        """Wait for an append's turn; if the call times out first, do the append after it.

        ``latency_s`` is the part of the call's time that comes in addition to the turn.
        """
        if not self.append_duration_s:
            return
        loop = asyncio.get_running_loop()
        starts_in_s = max(0.0, self._done_at_s.get(partition, 0.0) - loop.time())
        if starts_in_s > TURN_WAIT_MAX_S:
            raise StoreRefusedError(
                f"append would wait {starts_in_s:.3f} s, the limit is {TURN_WAIT_MAX_S} s"
            )
        self.counts[partition.topic] += 1
        takes_s = starts_in_s + self.append_duration_s
        self._done_at_s[partition] = loop.time() + takes_s
        if takes_s + latency_s <= timeout_s:
            await asyncio.sleep(takes_s)
            return
        loop.call_later(takes_s, run_discarding_result, work)
        await asyncio.sleep(timeout_s)
        raise StoreNoAnswerError(f"append not done within {timeout_s:.3f} s")
