"""Turns of starts at their hosts: how many are sent at once, and how long one waits."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Final

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.jobs.start_limits import (
    get_wait_max_s,
    is_nearly_idle,
    list_surplus,
)
from robinthread._internal.jobs.start_slots import EXTRA_SLOTS_MAX, START_SLOTS
from robinthread._internal.node.order_slots import make_slots
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.node.start_checks import are_evacuations_known, are_hosts_known
from robinthread._internal.node.unsent_starts import give_back

# Pause before records that are too old are looked at again.
RECORDS_PAUSE_S: Final = 0.05


class StartTurns:
    """Lets as many starts at once go to a host as it has slots, in the order in which they came."""

    def __init__(self, runtime: PoolRuntime) -> None:
        self._runtime = runtime
        self._slots = make_slots(START_SLOTS)

    @asynccontextmanager
    async def take(self, run: Run, host: Host) -> AsyncIterator[bool]:
        """Wait for a run's turn and hold it; give the run back if that takes too long.

        The value is False if the run got no turn.
        """
        slot = self._slots[host.id]
        try:
            async with asyncio.timeout(get_wait_max_s(self._runtime.jobs, run)):
                await slot.acquire()
        except TimeoutError:
            if run.is_unsent:
                give_back(self._runtime, [run], "it waited too long for its turn")
                self._runtime.wake()
            yield False
            return
        try:
            yield True
        finally:
            slot.release()

    def record_answer(self, host: Host, took_s: float, is_answered: bool) -> None:
        """Record how long a start took, and give back those that would wait too long after it."""
        now_s = get_loop_s()
        host.answer_times.record(took_s, now_s)
        self._resize(host, took_s, now_s, is_answered)
        jobs = self._runtime.jobs
        surplus = list_surplus(jobs, host, now_s)
        give_back(self._runtime, surplus, "the host answers slowly")
        is_slow = host.answer_times.is_slow(now_s)
        if surplus or (jobs.waiting and is_slow and is_nearly_idle(jobs, host, now_s)):
            self._runtime.wake()

    def _resize(self, host: Host, took_s: float, now_s: float, is_answered: bool) -> None:
        """Change a host's slots after an order; few hosts have other slots than they began with."""
        slots, before_count = self._slots[host.id], host.start_slots.count
        if is_answered:
            is_full = host.answer_times.is_slow(now_s) and slots.are_all_held
            may_grow = is_full and self._extra_count < EXTRA_SLOTS_MAX
            host.start_slots.record_answer(took_s, now_s, may_grow)
        else:
            host.start_slots.record_loss()
        if host.start_slots.count != before_count:
            slots.resize(host.start_slots.count)

    @property
    def _extra_count(self) -> int:
        hosts = self._runtime.jobs.hosts.values()
        return sum(host.start_slots.count - START_SLOTS for host in hosts)


async def wait_for_records(runtime: PoolRuntime, run: Run, host: Host) -> None:
    """Wait while the list of hosts or the operators' records are too old for a start to be sent.

    This holds none of the host's turns, so that starts go on as soon as either has been read.
    """
    while (
        run.phase is RunPhase.SENDING
        and host.contact is HostContact.ANSWERING
        and not (are_hosts_known(runtime) and are_evacuations_known(runtime))
    ):
        await asyncio.sleep(RECORDS_PAUSE_S)
