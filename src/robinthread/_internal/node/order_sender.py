"""Sending orders to a pool's hosts until they are answered."""

import asyncio
import enum
from typing import Final

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_errors import (
    HostError,
    HostFencedError,
    HostGoneError,
    HostNoAnswerError,
    HostUnhealthyError,
    HostUnreachableError,
    NoRoomError,
    RunTooOldError,
    StartRejectedError,
    TicketRejectedError,
)
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.pacing import PaceChange, get_pressure
from robinthread._internal.jobs.run import Run, RunPhase
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s

# How often a start is sent before its run is given up.
START_TRIES: Final = 3
# Pause before an order without answer is sent again.
RETRY_PAUSE_S: Final = 0.1
# Longest pause between two stops of one run.
RETRY_PAUSE_MAX_S: Final = 1.0
# How long a host gets no work after it rejected a task for want of room: its next
# report tells what takes the room.
NO_ROOM_PAUSE_S: Final = 0.3
# How long a host gets no work after it said that it is not well.
UNHEALTHY_PAUSE_S: Final = 1.0
# Orders under way at once to one host, each on a connection of its own.
ORDERS_PER_HOST_MAX: Final = 3
# Added to the longest time that a stop takes, for the way of the answer.
STOP_MARGIN_S: Final = 0.2


class StartOutcome(enum.Enum):
    """How one sending of a start went.

    SETTLED: nothing more is to be done for the run here.  UNANSWERED: it may have been
    carried out, or may be later.  UNSENT: it did not reach the host.  GIVEN_UP: the host
    rejected it, but an earlier one may be carried out, so the run is to be stopped.
    """

    SETTLED = "settled"
    UNANSWERED = "unanswered"
    UNSENT = "unsent"
    GIVEN_UP = "given up"


class OrderSender:
    """Sends starts and stops; each host takes a few at once."""

    def __init__(self, runtime: PoolRuntime) -> None:
        self._runtime = runtime
        self._context = runtime.context
        self._events = runtime.events
        self._slots: dict[str, asyncio.Semaphore] = {}

    async def send_start(self, run: Run) -> None:
        """Send a start until the host has answered it, or give the run up.

        The same run is sent to the same host again: a host that has it already
        says so, and starts it once.  One that no start has reached never begins.
        """
        host, job = self._find(run)
        if host is None or job is None:
            return
        async with self._get_slot(host.id):
            tries, sent_count = 0, 0
            while tries < START_TRIES and host.contact is HostContact.ANSWERING:
                if run.phase is not RunPhase.SENDING:
                    return
                if not self._has_room(run, host, job):
                    break
                until_ms = self._grant(host)
                if until_ms is not None:
                    tries += 1
                    outcome = await self._try_start(run, host, job, until_ms, sent_count > 0)
                    if outcome is StartOutcome.SETTLED:
                        return
                    if outcome is StartOutcome.GIVEN_UP:
                        break
                    sent_count += outcome is StartOutcome.UNANSWERED
                await asyncio.sleep(RETRY_PAUSE_S)
        if run.phase is not RunPhase.SENDING:
            # Its host has listed it during the last try, or it is being stopped.
            return
        if sent_count:
            self._runtime.jobs.stop(run)
        else:
            self._runtime.jobs.forget_run(run)
        self._runtime.wake()

    async def send_stop(self, run: Run) -> None:
        """Send a stop until the host has answered it or the run is over."""
        pause_s = RETRY_PAUSE_S
        while run.phase is not RunPhase.OVER:
            host = self._runtime.jobs.hosts.get(run.host_id)
            if host is None:
                return
            if await self.try_stop(host, run.task, run.number):
                stop_s = self._context.settings.bounds.host_stop_ms / 1000 + STOP_MARGIN_S
                run.settled_at_s = get_loop_s() + stop_s
                return
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, RETRY_PAUSE_MAX_S)

    async def try_stop(self, host: Host, task: TaskKey, run: int) -> bool:
        """Send one stop; return whether the host answered it."""
        try:
            async with self._get_slot(host.id):
                await self._context.hosts.stop(host.record, task, run, self._runtime.token)
        except HostFencedError:
            raise
        except HostError as error:
            self._events.write(
                "stop_unanswered",
                job=task.job_id,
                task=task.position,
                run=run,
                host=host.id,
                error=type(error).__name__,
            )
            return False
        return True

    async def send_pace(self, change: PaceChange) -> None:
        """Send one order on pace; the next look decides anew where it is not answered."""
        run = change.run
        host = self._runtime.jobs.hosts.get(run.host_id)
        if host is None:
            return
        try:
            async with self._get_slot(host.id):
                await self._context.hosts.pace(
                    host.record, run.task, run.number, change.percent, self._runtime.token
                )
        except HostFencedError:
            raise
        except HostError as error:
            outcome = type(error).__name__
        else:
            outcome = "done"
            run.pace_percent = change.percent
        self._events.write(
            "run_paced",
            job=run.task.job_id,
            task=run.task.position,
            run=run.number,
            host=host.id,
            percent=change.percent,
            pressure=round(get_pressure(self._runtime.jobs, host), 2),
            outcome=outcome,
        )

    def _has_room(self, run: Run, host: Host, job: Job) -> bool:
        """Tell whether the host still has the room in which a run was placed."""
        is_over = host.is_overcommitted(job.spec.steps[run.task.step].resources)
        if not is_over and self._runtime.are_capacities_known():
            return True
        self._events.write(
            "start_dropped",
            job=run.task.job_id,
            task=run.task.position,
            run=run.number,
            host=host.id,
            reason="the host has shrunk" if is_over else "its room is not known",
            room_cpu_millicores=host.record.capacity.cpu_millicores,
            free_cpu_millicores=host.free.cpu_millicores,
            free_memory_mb=host.free.memory_mb,
        )
        return False

    def _grant(self, host: Host) -> int | None:
        """Return the end of a lease that begins now, or None while none may be granted."""
        lease_ms = self._runtime.get_lease_ms()
        return None if lease_ms is None else host.lease.grant(lease_ms, get_loop_s())

    async def _try_start(
        self, run: Run, host: Host, job: Job, until_ms: int, may_be_there: bool
    ) -> StartOutcome:
        """Send one start.

        ``may_be_there`` where an earlier one had no answer: it may have been carried out,
        or may be later, whatever the host says to this one.
        """
        tickets, step = self._runtime.jobs.tickets, run.task.step_key
        order = StartOrder(
            run.task,
            run.number,
            job.spec.text,
            until_ms,
            self._runtime.token,
            run.checkpoint,
            tickets.get(step, host.id, get_loop_s()) or "",
        )
        run.sent_at_s = run.sent_at_s or get_loop_s()
        try:
            host.record_order_sent(get_loop_s())
            await self._send_noted(run, host, order)
            host.record_response()
        except HostFencedError:
            raise
        except RunTooOldError:
            # The run has ended there: the next report tells how.
            host.record_response()
            run.settled_at_s = get_loop_s()
        except NoRoomError:
            host.health.pause(NO_ROOM_PAUSE_S, get_loop_s())
            return self._reject(run, host, "no room", may_be_there)
        except TicketRejectedError:
            tickets.drop(step, host.id)
            return self._reject(run, host, "ticket", may_be_there)
        except HostUnhealthyError as error:
            host.health.pause(UNHEALTHY_PAUSE_S, get_loop_s())
            return self._reject(run, host, str(error), may_be_there)
        except StartRejectedError as error:
            return self._reject(run, host, f"{type(error).__name__}: {error}", may_be_there)
        except HostGoneError as error:
            if may_be_there:
                # It may have been the end of its host: that is judged with all that ran there.
                return StartOutcome.SETTLED
            return self._reject(run, host, str(error), may_be_there=False)
        except (HostNoAnswerError, HostUnreachableError) as error:
            host.record_failure(error, get_loop_s())
            self._events.write(
                "start_unanswered",
                job=job.id,
                task=run.task.position,
                run=run.number,
                host=host.id,
                error=type(error).__name__,
                sent_ago_ms=round((get_loop_s() - run.sent_at_s) * 1000, 1),
            )
            if isinstance(error, HostNoAnswerError):
                return StartOutcome.UNANSWERED
            if not may_be_there:
                run.sent_at_s = None
            return StartOutcome.UNSENT
        else:
            self._runtime.jobs.confirm_start(run, get_loop_s())
            since_accepted_ms = self._context.get_wall_ms() - job.spec.accepted_at_ms
            self._events.metrics.record_run_start(self._runtime.pool, since_accepted_ms / 1000)
            self._events.write(
                "run_started",
                job=job.id,
                task=run.task.position,
                run=run.number,
                host=host.id,
                pool=self._runtime.pool,
                token=self._runtime.token,
                since_accepted_ms=since_accepted_ms,
            )
            self._runtime.log_first_start(run)
        return StartOutcome.SETTLED

    async def _send_noted(self, run: Run, host: Host, order: StartOrder) -> None:
        """Send a start; one without an answer may be carried out by the host's next life."""
        late, host_id = self._runtime.jobs.unconfirmed_starts, host.record.id
        late.record_order_sent(host_id, run.key, get_loop_s())
        try:
            await self._context.hosts.start(host.record, order)
        except HostNoAnswerError:
            raise
        except HostError:
            late.record_start_settled(host_id, run.key)
            raise
        late.record_start_settled(host_id, run.key)

    def _reject(self, run: Run, host: Host, reason: str, may_be_there: bool) -> StartOutcome:
        """Take back a run that its host will not start, unless an earlier order may."""
        host.record_response()
        self._events.write(
            "start_rejected",
            job=run.task.job_id,
            task=run.task.position,
            run=run.number,
            host=host.id,
            reason=reason,
            may_be_there=may_be_there,
        )
        if may_be_there:
            return StartOutcome.GIVEN_UP
        self._runtime.jobs.forget_run(run)
        self._runtime.wake()
        return StartOutcome.SETTLED

    def _find(self, run: Run) -> tuple[Host | None, Job | None]:
        jobs = self._runtime.jobs
        return jobs.hosts.get(run.host_id), jobs.jobs.get(run.task.job_id)

    def _get_slot(self, host_id: str) -> asyncio.Semaphore:
        slot = self._slots.get(host_id)
        if slot is None:
            slot = self._slots[host_id] = asyncio.Semaphore(ORDERS_PER_HOST_MAX)
        return slot
