"""Earlier owners of a pool, which may still run unaware that they were replaced."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Final

from robinthread._internal.durable.ownership import Member, OwnerTable, UnreleasedOwner
from robinthread._internal.durable.released_leases import ReleasedLeases
from robinthread._internal.jobs.foreign_leases import ForeignLeases
from robinthread._internal.jobs.lease_times import get_lapse_time_s
from robinthread._internal.node.pool_runtime import (
    LEASE_MS,
    OWNERS_UNREAD_MAX_S,
    UNCONFIRMED_MAX_S,
    get_loop_s,
)
from robinthread._internal.telemetry.event_log import EventLog

# Interval of queries to an earlier owner whether it has stopped, while tasks wait for that.  It
# is short compared with the lease, which they wait for in any case.
QUERY_PERIOD_S: Final = 0.3

QueryStopped = Callable[[Member, str, int], Awaitable[bool]]


class Predecessors:
    """Tracks until when earlier owners of a pool may have granted leases.

    An unreachable owner may continue until the store has not confirmed it for too long.  An
    owner that has stopped confirms that itself, or its node's next incarnation does.

    Leases by another clock may last for ``lease_max_ms``; ``told`` is what the last owner knew of
    them when it stopped.
    """

    def __init__(
        self,
        pool: str,
        earlier_owners: Iterable[UnreleasedOwner],
        query_stopped: QueryStopped,
        lease_max_ms: float = 0.0,
        told: ReleasedLeases | None = None,
    ) -> None:
        self._pool = pool
        self._query_stopped = query_stopped
        self._lease_max_ms = lease_max_ms
        self._told = told
        self._grants_until_s = {
            earlier: earlier.replaced_at_s + UNCONFIRMED_MAX_S for earlier in earlier_owners
        }
        self._acquired_at_s = get_loop_s()
        self._leases = ForeignLeases()

    def mark_fenced(self, now_s: float, leases: ForeignLeases) -> None:
        """Record that earlier owners are fenced; update ``leases`` from now on.

        Until now, accepted records may have confirmed any of them, because an owner in between
        need not have opened the journal.  None has read the owners since it was replaced.
        """
        self._leases = leases
        leases.longest_ms = self._lease_max_ms
        leases.told = self._told
        leases.acquired_at_s = self._acquired_at_s
        self._grants_until_s = {
            earlier: min(now_s + UNCONFIRMED_MAX_S, earlier.replaced_at_s + OWNERS_UNREAD_MAX_S)
            for earlier in self._grants_until_s
        }
        self._update_lapse_time()

    @property
    def is_empty(self) -> bool:
        """Return whether there is no earlier owner that may have granted leases."""
        return not self._grants_until_s

    def drop_settled(self, before_token: int) -> None:
        """Drop owners with a token below ``before_token``; a later owner saw their leases lapse.

        The store does not record when an owner was replaced, so a restarted process would count
        each from its own start, for up to a minute after the owner was lost.
        """
        self._grants_until_s = {
            earlier: until_s
            for earlier, until_s in self._grants_until_s.items()
            if earlier.token >= before_token
        }
        self._update_lapse_time()

    async def poll_until_stopped(self, is_awaited: Callable[[], bool], events: EventLog) -> None:
        """Query earlier owners whether they have stopped, whenever ``is_awaited`` returns True.

        Call this only once they are fenced out of the journal, because an owner that has not
        started yet could otherwise still start.  Returns once no earlier owner can grant leases.
        """
        while running := self._list_running():
            if is_awaited():
                await asyncio.gather(*(self._query(earlier, events) for earlier in running))
            await asyncio.sleep(QUERY_PERIOD_S)

    def _list_running(self) -> list[UnreleasedOwner]:
        now_s = get_loop_s()
        return [earlier for earlier, until_s in self._grants_until_s.items() if until_s > now_s]

    async def _query(self, earlier: UnreleasedOwner, events: EventLog) -> None:
        if not await self._query_stopped(earlier.owner, self._pool, earlier.token):
            return
        self._grants_until_s[earlier] = get_loop_s()
        self._update_lapse_time()
        events.write(
            "predecessor_stopped",
            pool=self._pool,
            node=earlier.owner.node,
            token=earlier.token,
            leases_over_in_s=round(self._leases.over_at_s - get_loop_s(), 3),
        )

    def _update_lapse_time(self) -> None:
        # Earlier owners that are unknown here had stopped when this one acquired the pool.
        last_grant_s = max(self._acquired_at_s, *self._grants_until_s.values(), 0.0)
        self._leases.over_at_s = get_lapse_time_s(LEASE_MS, last_grant_s)
        self._leases.last_grant_s = last_grant_s


def find_predecessors(
    pool: str,
    me: Member,
    table: OwnerTable,
    stopped_tokens: Mapping[str, int],
    query_stopped: QueryStopped,
    lease_max_ms: float,
    handed_over: Mapping[str, ReleasedLeases],
) -> Predecessors:
    """Return the earlier owners of a pool that this node has acquired.

    ``stopped_tokens`` and ``handed_over`` are those of owners that handed pools over to this node.

    Earlier incarnations of this node are left out, because they have ended, and so is an owner
    that handed the pool over to this node, because it stopped first.
    """
    earlier_owners = (
        earlier
        for earlier in table.unreleased.get(pool, ())
        if earlier.token != stopped_tokens.get(pool) and earlier.owner.node != me.node
    )
    released = _find_released(pool, table, stopped_tokens, handed_over)
    return Predecessors(
        pool,
        earlier_owners,
        query_stopped,
        lease_max_ms if table.owners[pool].replaced_token else 0.0,
        released,
    )


def _find_released(
    pool: str,
    table: OwnerTable,
    stopped_tokens: Mapping[str, int],
    handed_over: Mapping[str, ReleasedLeases],
) -> ReleasedLeases | None:
    """Return the leases that the last owner of a pool left, if it told them when it stopped."""
    previous = table.previous.get(pool)
    if previous is None or previous.token != table.owners[pool].replaced_token:
        return None
    if previous.is_released:
        return previous.leases
    return handed_over.get(pool) if stopped_tokens.get(pool) == previous.token else None
