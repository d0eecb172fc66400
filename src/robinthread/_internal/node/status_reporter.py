"""Lines that tell, time and again, how a node and its pools stand."""

import asyncio
from collections import Counter
from typing import Any, Final

from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.workspace_limiter import WorkspaceLimiter
from robinthread._internal.node.loop_lag import LoopLag
from robinthread._internal.node.owned_pools import OwnedPools
from robinthread._internal.node.pool_owner import PoolOwner
from robinthread._internal.node.pool_runtime import get_loop_s
from robinthread._internal.node.readiness import Readiness
from robinthread._internal.telemetry.event_log import EventLog

# How often there is a look at what has changed.
LOOK_PERIOD_S: Final = 0.25
# How often a pool is told that is not open yet.  Openings took 0.2 to 0.3 s with a store
# that answers.
SLOW_PERIOD_S: Final = 1.0
# How often each pool is told.  Its line has some 400 bytes, so that a minute of a pool takes
# a fifth of what collectors keep of a process at least (54 KB).
STATUS_PERIOD_S: Final = 2.0


class StatusReporter:
    """Tells how the pools stand that are owned here, open or not."""

    def __init__(
        self, owned: OwnedPools, lag: LoopLag, readiness: Readiness, events: EventLog
    ) -> None:
        self._owned = owned
        self._lag = lag
        self._readiness = readiness
        self._events = events
        self._told_at_s = 0.0

    async def run(self) -> None:
        """Tell until cancelled."""
        while True:
            await asyncio.sleep(LOOK_PERIOD_S)
            self.check()

    def check(self) -> None:
        """Write what is due now."""
        self._events.flush_gathered()
        self._readiness.check()
        is_due = get_loop_s() - self._told_at_s >= STATUS_PERIOD_S
        if is_due:
            self._told_at_s = get_loop_s()
        for owner in self._owned.owners.values():
            if not owner.is_open and owner.opening.is_report_due(SLOW_PERIOD_S):
                self._tell_slow(owner)
            if is_due:
                self._tell_standing(owner)

    def read_states(self) -> dict[str, float]:
        """Return 1 for each pool that is open and 0 for each that was only taken."""
        return {pool: float(owner.is_open) for pool, owner in self._owned.owners.items()}

    def count_lasting_not_running(self) -> dict[str, float]:
        """Count, by pool, the lasting tasks that run nowhere."""
        return {
            pool: sum(task.step.is_lasting for task in owner.jobs.waiting.values())
            for pool, owner in self._owned.owners.items()
        }

    def read_workspace_parts(self) -> dict[str, float]:
        """Return, by pool and workspace, which part of its limit a workspace takes there."""
        return {
            f"{pool}/{workspace}": part
            for pool, owner in self._owned.owners.items()
            for workspace, part in owner.jobs.workspaces.get_used_fractions().items()
        }

    def _tell_slow(self, owner: PoolOwner) -> None:
        self._events.write(
            "pool_opening_slow",
            pool=owner.pool,
            token=owner.token,
            missing=owner.opening.missing,
            **owner.opening.make_timing_fields(),
        )

    def _tell_standing(self, owner: PoolOwner) -> None:
        waiting = owner.jobs.waiting.values()
        self._events.write(
            "owner_standing",
            pool=owner.pool,
            token=owner.token,
            phase="open" if owner.is_open else "+".join(owner.opening.missing),
            **owner.opening.make_end_fields(),
            loop_lag_s=round(self._lag.lag_s, 3),
            job_count=len(owner.jobs.jobs),
            waiting=len(waiting),
            waiting_lasting=sum(task.step.is_lasting for task in waiting),
            **_tell_workspaces(owner.jobs.workspaces),
            **_count_hosts(list(owner.jobs.hosts.values()), get_loop_s()),
            store_unconfirmed_for_s=round(owner.get_unconfirmed_s(), 3),
        )


def _tell_workspaces(room: WorkspaceLimiter) -> dict[str, Any]:
    """Tell of the workspaces that are near their share here, and of those held back by it."""
    parts = room.get_used_fractions()
    told = {
        name: [round(parts.get(name, 0.0), 3), round(room.get_share(name), 3)]
        for name in room.list_reported()
    }
    return {"workspaces": told, "held_back": sorted(room.held_back)} if told else {}


def _count_hosts(hosts: list[Host], now_s: float) -> dict[str, Any]:
    """Count hosts by how they are heard, and find the lease with runs that ends first."""
    counts = Counter(host.contact.value if host.is_listed else "unlisted" for host in hosts)
    left_s = min((host.lease.over_at_s - now_s for host in hosts if host.runs), default=None)
    return {
        **{f"{how}_hosts": count for how, count in counts.items()},
        "lease_left_s": None if left_s is None else round(left_s, 3),
    }
