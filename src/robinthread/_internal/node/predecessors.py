"""Earlier owners of a pool, which may be running without knowing that they were replaced."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Final

from robinthread._internal.durable.ownership import Member, OwnerTable, UnreleasedOwner
from robinthread._internal.jobs.host_lease import ForeignLeases, get_lapse_time_s
from robinthread._internal.node.pool_runtime import (
    LEASE_MS,
    OWNERS_UNREAD_MAX_S,
    UNCONFIRMED_MAX_S,
    get_loop_s,
)
from robinthread._internal.telemetry.event_log import EventLog

# How often an earlier owner is asked whether it has stopped, while tasks wait for that:
# small beside the lease that they wait for in any case.
QUERY_PERIOD_S: Final = 0.3

QueryStopped = Callable[[Member, str, int], Awaitable[bool]]


class Predecessors:
    """Until when earlier owners of a pool may have granted leases.

    One that cannot be asked may go on until it has not been confirmed for too long.  One
    that has stopped says so, or the next life of its process does.
    """

    def __init__(
        self, pool: str, found: Iterable[UnreleasedOwner], query_stopped: QueryStopped
    ) -> None:
        self._pool = pool
        self._query_stopped = query_stopped
        self._grants_until_s = {lost: lost.replaced_at_s + UNCONFIRMED_MAX_S for lost in found}
        self._acquired_at_s = get_loop_s()
        self._leases = ForeignLeases()

    def mark_fenced(self, now_s: float, leases: ForeignLeases) -> None:
        """Note that no earlier owner is confirmed any more; keep ``leases`` from now on.

        Until now records may have confirmed any of them: whoever came between need not have
        opened the journal.  None has read the owners since it was replaced.
        """
        self._leases = leases
        self._grants_until_s = {
            lost: min(now_s + UNCONFIRMED_MAX_S, lost.replaced_at_s + OWNERS_UNREAD_MAX_S)
            for lost in self._grants_until_s
        }
        self._update_lapse_time()

    @property
    def is_empty(self) -> bool:
        """Tell whether there is no earlier owner that may have granted leases."""
        return not self._grants_until_s

    def drop_settled(self, before_token: int) -> None:
        """Forget owners with a lower token: a later one saw all their leases lapse.

        The store does not tell how long ago an owner was replaced, so a process that begins
        anew would count each from its own start, for up to a minute after it was lost.
        """
        self._grants_until_s = {
            lost: until_s
            for lost, until_s in self._grants_until_s.items()
            if lost.token >= before_token
        }
        self._update_lapse_time()

    async def poll_until_stopped(self, is_awaited: Callable[[], bool], events: EventLog) -> None:
        """Ask earlier owners whether they have stopped, while that is awaited.

        Not before they are shut out of the journal: one that has not begun might begin still.
        """
        while running := self._list_running():
            if is_awaited():
                await asyncio.gather(*(self._query(lost, events) for lost in running))
            await asyncio.sleep(QUERY_PERIOD_S)

    def _list_running(self) -> list[UnreleasedOwner]:
        now_s = get_loop_s()
        return [lost for lost, until_s in self._grants_until_s.items() if until_s > now_s]

    async def _query(self, lost: UnreleasedOwner, events: EventLog) -> None:
        if not await self._query_stopped(lost.owner, self._pool, lost.token):
            return
        self._grants_until_s[lost] = get_loop_s()
        self._update_lapse_time()
        events.write(
            "predecessor_stopped",
            pool=self._pool,
            node=lost.owner.node,
            token=lost.token,
            leases_over_in_s=round(self._leases.over_at_s - get_loop_s(), 3),
        )

    def _update_lapse_time(self) -> None:
        # Owners that are not known here had stopped when this one took the pool.
        last_grant_s = max(self._acquired_at_s, *self._grants_until_s.values(), 0.0)
        self._leases.over_at_s = get_lapse_time_s(LEASE_MS, last_grant_s)


def find_predecessors(
    pool: str,
    me: Member,
    table: OwnerTable,
    stopped_tokens: Mapping[str, int],
    query_stopped: QueryStopped,
) -> Predecessors:
    """Return the earlier owners of a pool that this node has taken.

    An earlier life of this node has ended; one that passed the pool on here stopped first.
    """
    found = (
        lost
        for lost in table.unreleased.get(pool, ())
        if lost.token != stopped_tokens.get(pool) and lost.owner.node != me.node
    )
    return Predecessors(pool, found, query_stopped)
