"""Search for a free slot for a request in all data halls of its pool."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Final

from robinthread._internal.dispatch.dispatch_service import DispatchService
from robinthread._internal.entry.busy_halls import BusyHalls
from robinthread._internal.entry.running_request import RunningRequest
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.peers.messages import SlotReply, SlotRequest
from robinthread._internal.results import ResultCode

# Refusals after which the next data hall is tried.
OTHER_HALL_CODES: Final = frozenset(
    {
        ResultCode.NO_HOST_REACHABLE,
        ResultCode.QUEUE_FULL,
        ResultCode.DEADLINE_UNREACHABLE,
        ResultCode.NOT_READY,
    }
)


class SlotFinder:
    """Request slots from the dispatchers of a pool, starting with this data hall's."""

    def __init__(
        self,
        hall: str,
        dispatch: DispatchService,
        get_state: Callable[[], FleetState],
        wall_clock: Callable[[], float],
        random_: random.Random,
    ) -> None:
        self._hall = hall
        self._dispatch = dispatch
        self._get_state = get_state
        self._wall_clock = wall_clock
        self._random = random_
        self._busy_halls = BusyHalls()

    async def find(self, running: RunningRequest) -> SlotReply:
        """Lease a free slot in any hall, or queue where the estimated wait is shortest.

        This daemon's hall is tried first.  A hall that recently had no free slot is
        skipped in the search for a free one, so that an overload does not multiply
        messages.
        """
        pool = running.request.pool
        halls = tuple(self._iter_halls(pool))
        refusal = SlotReply(ResultCode.NO_HOST_REACHABLE, retry_after_s=1.0)
        if len(halls) > 1:
            for hall in halls:
                if self._busy_halls.is_busy(pool, hall):
                    continue
                reply = await self._request_slot(running, hall, may_wait=False)
                if reply.code == ResultCode.NO_SLOT_FREE:
                    self._busy_halls.record_full(pool, hall, reply.retry_after_s)
                elif reply.code not in OTHER_HALL_CODES:
                    return reply
        for hall in sorted(halls, key=lambda hall: self._busy_halls.get_wait_s(pool, hall)):
            reply = await self._request_slot(running, hall, may_wait=True)
            if reply.code not in OTHER_HALL_CODES:
                return reply
            refusal = _prefer_refusal(refusal, reply)
        return refusal

    async def _request_slot(self, running: RunningRequest, hall: str, may_wait: bool) -> SlotReply:
        left_s = running.request.deadline_at_s - self._wall_clock()
        if left_s <= 0:
            return SlotReply(ResultCode.DEADLINE_PASSED)
        request = self._make_request(running, hall, may_wait)
        task = asyncio.get_running_loop().create_task(
            self._dispatch.request_slot(hall, request, left_s)
        )
        running.slot_wait = task
        try:
            return await task
        except asyncio.CancelledError:
            if not running.is_cancelled:
                raise
            return SlotReply(ResultCode.CANCELLED_BEFORE_START)
        finally:
            running.slot_wait = None

    def _iter_halls(self, pool: str) -> Iterator[str]:
        state = self._get_state()
        serving = Counter(host.hall for host in state.iter_pool_hosts(pool) if host.is_serving)
        here = self._hall
        if here in serving:
            yield here
        others = [hall for hall in serving if hall != here]
        weights = [serving[hall] for hall in others]
        while others:
            index = self._random.choices(range(len(others)), weights)[0]
            del weights[index]
            yield others.pop(index)

    def _make_request(self, running: RunningRequest, hall: str, may_wait: bool) -> SlotRequest:
        request = running.request
        return SlotRequest(
            request.pool,
            hall,
            request.team,
            request.urgency.value,
            request.deadline_at_s,
            request.is_repeatable,
            running.digest,
            running.avoid,
            may_wait,
        )


def _prefer_refusal(first: SlotReply, second: SlotReply) -> SlotReply:
    """Return the more informative refusal: any other code before ``NO_HOST_REACHABLE``."""
    return first if second.code == ResultCode.NO_HOST_REACHABLE else second
