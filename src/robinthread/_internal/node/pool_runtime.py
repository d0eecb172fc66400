"""State, leases and background tasks that the parts of a pool's owner share."""

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any, Final

from robinthread._internal.durable.errors import StoreFencedError
from robinthread._internal.durable.journal import Journal
from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.host_errors import HostFencedError
from robinthread._internal.jobs.lease_times import get_lapse_time_s
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run
from robinthread._internal.jobs.unconfirmed_starts import UNCONFIRMED_START_MAX_S
from robinthread._internal.node.context import NodeContext
from robinthread._internal.utils.cancellation import raise_if_cancelled
from robinthread._internal.utils.error_text import describe_error

# A task may run for this long without contact with its pool's owner.  It must outlast a change of
# owner (about 2 s).  The tasks of a cut-off host cannot run elsewhere for the same time.
LEASE_MS: Final = 4000
# An owner that the store has not confirmed for this long grants no more leases.  It must outlast
# the store's usual outages (4 to 6 s).  It also bounds how long a new owner waits for hosts that
# it cannot reach but an earlier owner may.
UNCONFIRMED_MAX_S: Final = 6.0
# A record that the store accepts also confirms an owner, because it proves that no other owner has
# opened the journal since.  This carries an owner over an outage of the owners' partition alone.
# An owner that has not read the owners for this long still grants no more leases, because a later
# owner then no longer waits for it.
OWNERS_UNREAD_MAX_S: Final = 2 * UNCONFIRMED_MAX_S
# Maximum age of the hosts' entries, because a host's capacity may have shrunk since the last read.
# A smaller capacity must be known after 3 s and a heartbeat.  A read may take as long as it waits
# for a change, plus one call.
CAPACITIES_UNREAD_MAX_S: Final = 3.0


class PoolRuntime:
    """A pool's jobs, its owner's token, and the owner's background tasks.

    ``has_failed`` is set if an unexpected error made the owner give the pool up.
    ``recording_since_s`` is when the records that are being written now were sent, by the event
    loop's clock; None while none are.
    """

    def __init__(
        self, context: NodeContext, pool: str, token: int, jobs: PoolJobs, journal: Journal
    ) -> None:
        self.context = context
        self.events = context.events
        self.pool = pool
        self.token = token
        self.jobs = jobs
        self.journal = journal
        self.changed = asyncio.Event()
        self.unrecorded = asyncio.Event()
        self.fenced = asyncio.Event()
        self.has_failed = False
        self.recording_since_s: float | None = None
        self.opened_at_s = math.inf
        self._has_logged_first_start = False
        self._tasks: set[asyncio.Task[Any]] = set()

    def wake(self) -> None:
        """Trigger placement of waiting tasks, pending orders and the recording of progress."""
        self.changed.set()
        if self.jobs.unrecorded:
            self.unrecorded.set()

    def get_unconfirmed_s(self) -> float:
        """Return for how many seconds the store has not confirmed the owner."""
        return min(
            self.context.get_owners_unconfirmed_s(), get_loop_s() - self.journal.confirmed_at_s
        )

    def log_first_start(self, run: Run) -> None:
        """Log the first run that started since the pool was opened; do nothing for later ones."""
        if not self._has_logged_first_start:
            self._has_logged_first_start = True
            self.events.write(
                "pool_first_start",
                job=run.task.job_id,
                host=run.host_id,
                pool=self.pool,
                token=self.token,
                since_opened_s=round(get_loop_s() - self.opened_at_s, 3),
                up_s=self.events.up_s,
            )

    def get_lease_ms(self) -> float | None:
        """Return the length in ms of a lease granted now, or None if none may be granted."""
        if self.get_unconfirmed_s() > UNCONFIRMED_MAX_S:
            return None
        if self.context.get_owners_unconfirmed_s() > OWNERS_UNREAD_MAX_S:
            return None
        return min(LEASE_MS, self.context.settings.bounds.lease_max_ms)

    def record_lease(self, host_id: str, until_ms: int, clock_ms: int) -> float | None:
        """Record the lease of an order that a host has just answered, with its clock.

        Return when the lease is over if it is longer than those of this owner, else None.
        """
        return self.jobs.misdirected_leases.record(
            host_id,
            until_ms,
            clock_ms,
            get_loop_s(),
            LEASE_MS,
            self.context.settings.bounds.lease_max_ms,
        )

    def record_unanswered_order(self, host: Host, sent_at_s: float) -> None:
        """Record an order without a response that the host's next incarnation may have taken.

        The order, sent at ``sent_at_s``, grants a lease to all runs that this one may have.
        """
        longest_ms, now_s = self.context.settings.bounds.lease_max_ms, get_loop_s()
        self.jobs.misdirected_leases.record_unanswered(
            host.record.id, sent_at_s + UNCONFIRMED_START_MAX_S, longest_ms, now_s
        )
        for run in host.runs.values():
            if run.lease_over_at_s > now_s:
                run.lease_over_at_s = get_lapse_time_s(longest_ms, now_s)

    def are_capacities_known(self) -> bool:
        """Return whether hosts' capacities are recent enough to place runs by them.

        Hosts that check their capacity reject a run that does not fit, so any age will do.
        Other hosts start it.  Before a configuration is read, any pool may have such hosts.
        """
        config = self.context.config_holder.config
        policy = config.pools.get(self.pool) if config is not None else None
        if config is not None and (policy is None or policy.hosts_check_room):
            return True
        return self.context.get_hosts_unconfirmed_s() <= CAPACITIES_UNREAD_MAX_S

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a task until the owner stops; a fencing error in it fences the owner."""
        name = getattr(work, "__qualname__", "")
        task = asyncio.get_running_loop().create_task(self._guard(name, work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # If the guard is cancelled before its first step, ``work`` was never awaited.
        task.add_done_callback(lambda _: work.close())
        return task

    def cancel(self) -> list[asyncio.Task[Any]]:
        """Cancel all tasks and return them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks

    async def cancel_all(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = self.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def guard_call(self, name: str, function: Callable[..., None]) -> Callable[..., None]:
        """Return ``function`` in a form that gives the pool up instead of raising."""

        def call(*args: Any) -> None:
            try:
                function(*args)
            except Exception as error:
                self.give_up(name, error)

        return call

    def give_up(self, name: str, error: BaseException) -> None:
        """Fence the owner, because a task or a call of this name has raised.

        An unexpected error must not leave the pool partly served.  Another owner acquires the
        pool under a new token.
        """
        self.events.write(
            "task_failed", task=name, pool=self.pool, token=self.token, **describe_error(error)
        )
        self.has_failed = True
        self.fenced.set()

    async def _guard(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except (HostFencedError, StoreFencedError) as error:
            if not self.fenced.is_set():
                self.events.write(
                    "pool_fenced", pool=self.pool, token=self.token, by=type(error).__name__
                )
            self.fenced.set()
        except (Exception, asyncio.CancelledError) as error:
            raise_if_cancelled(error)
            self.give_up(name, error)


def get_loop_s() -> float:
    """Return the event loop's clock in seconds."""
    return asyncio.get_running_loop().time()
