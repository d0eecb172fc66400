"""Periodic log lines with the status of a node and of the pools that it owns."""

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
from robinthread._internal.node.view_ages import ViewAges
from robinthread._internal.telemetry.event_log import EventLog

# Interval between checks for lines that are due.
CHECK_PERIOD_S: Final = 0.25
# Interval between log lines on a pool that is not open yet.  With a store that responds, opening
# a pool took 0.2 to 0.3 s.
SLOW_PERIOD_S: Final = 1.0
# Interval between the status lines of a pool.  A line has about 400 bytes, so a minute of one pool
# takes a fifth of the 54 KB that log collectors retain at least of a process.
STATUS_PERIOD_S: Final = 2.0


class StatusReporter:
    """Logs the status of the pools that this node owns, whether open or not."""

    def __init__(
        self,
        owned: OwnedPools,
        lag: LoopLag,
        readiness: Readiness,
        views: ViewAges,
        events: EventLog,
    ) -> None:
        self._owned = owned
        self._lag = lag
        self._readiness = readiness
        self._views = views
        self._events = events
        self._logged_at_s = 0.0

    async def run(self) -> None:
        """Log until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            self.check()

    def check(self) -> None:
        """Log what is due now."""
        self._events.flush_gathered()
        self._readiness.check()
        self._views.check()
        is_due = get_loop_s() - self._logged_at_s >= STATUS_PERIOD_S
        if is_due:
            self._logged_at_s = get_loop_s()
        for owner in self._owned.owners.values():
            if not owner.is_open and owner.opening.is_report_due(SLOW_PERIOD_S):
                self._log_slow_opening(owner)
            if is_due:
                self._log_status(owner)

    def read_states(self) -> dict[str, float]:
        """Return, by pool, 1 if it is open and 0 if it is still opening."""
        return {pool: float(owner.is_open) for pool, owner in self._owned.owners.items()}

    def count_lasting_not_running(self) -> dict[str, float]:
        """Return, by pool, the number of lasting tasks that are not running."""
        return {
            pool: sum(task.step.is_lasting for task in owner.jobs.waiting.values())
            for pool, owner in self._owned.owners.items()
        }

    def count_unsent_starts(self) -> dict[str, float]:
        """Return, by pool, the number of starts that were placed and have not been sent."""
        return {
            pool: sum(
                run.is_unsent for host in owner.jobs.hosts.values() for run in host.runs.values()
            )
            for pool, owner in self._owned.owners.items()
        }

    def read_workspace_parts(self) -> dict[str, float]:
        """Return, by ``pool/workspace``, the used fraction of the workspace's limit."""
        return {
            f"{pool}/{workspace}": part
            for pool, owner in self._owned.owners.items()
            for workspace, part in owner.jobs.workspaces.get_used_fractions().items()
        }

    def _log_slow_opening(self, owner: PoolOwner) -> None:
        self._events.write(
            "pool_opening_slow",
            pool=owner.pool,
            token=owner.token,
            missing=owner.opening.missing,
            **owner.opening.make_timing_fields(),
        )

    def _log_status(self, owner: PoolOwner) -> None:
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
            **_make_workspace_fields(owner.jobs.workspaces),
            **_count_hosts(list(owner.jobs.hosts.values()), get_loop_s()),
            store_unconfirmed_for_s=round(owner.get_unconfirmed_s(), 3),
        )


def _make_workspace_fields(limiter: WorkspaceLimiter) -> dict[str, Any]:
    """Return log fields on workspaces near their share and on those held back by it."""
    fractions = limiter.get_used_fractions()
    reported = {
        name: [round(fractions.get(name, 0.0), 3), round(limiter.get_share(name), 3)]
        for name in limiter.list_reported()
    }
    return {"workspaces": reported, "held_back": sorted(limiter.held_back)} if reported else {}


def _count_hosts(hosts: list[Host], now_s: float) -> dict[str, Any]:
    """Count hosts by contact state, and find the earliest end of a lease with runs."""
    counts = Counter(host.contact.value if host.is_listed else "unlisted" for host in hosts)
    left_s = min((host.lease.over_at_s - now_s for host in hosts if host.runs), default=None)
    return {
        **{f"{state}_hosts": count for state, count in counts.items()},
        "lease_left_s": None if left_s is None else round(left_s, 3),
    }
