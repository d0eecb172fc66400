"""What the parts of a pool's owner share."""

import asyncio
import math
from collections.abc import Coroutine
from typing import Any, Final

from robinthread._internal.durable.errors import StoreFencedError
from robinthread._internal.durable.journal import Journal
from robinthread._internal.jobs.host_errors import HostFencedError
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run
from robinthread._internal.node.context import NodeContext

# How long a task may run on without word from its pool's owner.  It must outlast a
# change of owner (about 2 s); a cut-off host's tasks run nowhere else for as long.
LEASE_MS: Final = 4000
# An owner that has not been confirmed by the store for so long grants nothing more.
# It must outlast the store's usual outages (4 to 6 s), and bounds how long a new
# owner waits for hosts that it cannot reach but an older owner may.
UNCONFIRMED_MAX_S: Final = 6.0
# Records that the store takes confirm an owner too, for nobody has opened its journal since:
# they carry it over an outage of the owners' partition alone.  One that has not read the
# owners for so long grants nothing all the same: by then a later owner need not wait for it.
OWNERS_UNREAD_MAX_S: Final = 2 * UNCONFIRMED_MAX_S
# A host's room may have shrunk since its entry was last read.  One that shrank must be known
# after 3 s and a heartbeat; a read may take as long as it waits for a change, and a call more.
CAPACITIES_UNREAD_MAX_S: Final = 3.0


class PoolRuntime:
    """A pool's jobs, its owner's token, and the tasks that run for the owner."""

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
        self.opened_at_s = math.inf
        self._has_logged_first_start = False
        self._tasks: set[asyncio.Task[Any]] = set()

    def wake(self) -> None:
        """Have waiting tasks placed, orders sent and progress recorded."""
        self.changed.set()
        if self.jobs.unrecorded:
            self.unrecorded.set()

    def get_unconfirmed_s(self) -> float:
        """Return for how long the store has not confirmed the owner."""
        return min(
            self.context.get_owners_unconfirmed_s(), get_loop_s() - self.journal.confirmed_at_s
        )

    def log_first_start(self, run: Run) -> None:
        """Write a line for the first run that was started since the pool was opened."""
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
        """Return how long a lease to grant now, or None where none may be granted."""
        if self.get_unconfirmed_s() > UNCONFIRMED_MAX_S:
            return None
        if self.context.get_owners_unconfirmed_s() > OWNERS_UNREAD_MAX_S:
            return None
        return min(LEASE_MS, self.context.settings.bounds.lease_max_ms)

    def are_capacities_known(self) -> bool:
        """Tell whether what hosts have room for is known well enough to place runs there.

        Hosts that check their room reject what does not fit; others start it.
        """
        config = self.context.config_holder.config
        policy = config.pools.get(self.pool) if config is not None else None
        if policy is None or policy.hosts_check_room:
            return True
        return self.context.get_hosts_unconfirmed_s() <= CAPACITIES_UNREAD_MAX_S

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a task until the owner stops; one that is fenced fences the owner."""
        task = asyncio.get_running_loop().create_task(self._guard(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        # A guard that is cancelled before its first step leaves the work not begun.
        task.add_done_callback(lambda _: work.close())
        return task

    def cancel(self) -> list[asyncio.Task[Any]]:
        """Have all tasks end, and return them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        return tasks

    async def cancel_all(self) -> None:
        """End all tasks."""
        tasks = self.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _guard(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except (HostFencedError, StoreFencedError) as error:
            if not self.fenced.is_set():
                self.events.write(
                    "pool_fenced", pool=self.pool, token=self.token, by=type(error).__name__
                )
            self.fenced.set()
        except Exception as error:
            # A defect must not leave a pool half owned: another life takes it over.
            self.events.write("task_failed", pool=self.pool, token=self.token, error=repr(error))
            self.fenced.set()
            raise


def get_loop_s() -> float:
    """Return the event loop's clock in seconds."""
    return asyncio.get_running_loop().time()
