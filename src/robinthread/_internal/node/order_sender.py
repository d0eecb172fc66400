"""Sends orders to a pool's hosts and retries those without a response."""

import asyncio
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
from robinthread._internal.jobs.start_limits import get_start_timeout_s
from robinthread._internal.models.start_order import StartOrder
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.node.cold_starts import take_start
from robinthread._internal.node.order_slots import make_slots
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s
from robinthread._internal.node.start_ages import record_sending
from robinthread._internal.node.start_checks import (
    are_hosts_known,
    may_send,
    withhold_if_evacuated,
)
from robinthread._internal.node.start_leases import expect_longest_lease, record_start_lease
from robinthread._internal.node.start_outcome import StartOutcome
from robinthread._internal.node.start_rejections import record_rejection, record_started
from robinthread._internal.node.start_turns import StartTurns, wait_for_records

# Number of times that a start is sent before its run is abandoned.
START_TRIES: Final = 3
# Pause before an order without a response is sent again.
RETRY_PAUSE_S: Final = 0.1
# Limit of the doubling pause between two stop orders for one run.
RETRY_PAUSE_MAX_S: Final = 1.0
# A host gets no work for this long after it rejected a task for lack of capacity.  Its next
# report shows what uses the capacity.
NO_CAPACITY_PAUSE_S: Final = 0.3
# A host gets no work for this long after it reported itself unhealthy.
UNHEALTHY_PAUSE_S: Final = 1.0
# Maximum number of concurrent stops to one host, each on a connection of its own.  A cancelled job
# may have a hundred runs on a host, which must end within 3 s: six rounds of 0.4 s and the stop.
STOPS_PER_HOST_MAX: Final = 16
# The same for pace orders, which the next check of the runs decides again.
PACES_PER_HOST_MAX: Final = 3
# Added to the maximum duration of a stop, for the latency of the response.
STOP_MARGIN_S: Final = 0.2


class OrderSender:
    """Sends start, stop and pace orders, of each kind a few at once to a host.

    No kind waits for another, so that a host that answers starts slowly is still stopped in time.
    """

    def __init__(self, runtime: PoolRuntime) -> None:
        self._runtime = runtime
        self._context = runtime.context
        self._events = runtime.events
        self._turns = StartTurns(runtime)
        self._stop_slots = make_slots(STOPS_PER_HOST_MAX)
        self._pace_slots = make_slots(PACES_PER_HOST_MAX)

    async def send_start(self, run: Run) -> None:
        """Send a start until the host has responded to it, or abandon the run.

        A retry sends the same run to the same host, and a host that already has the run
        confirms it without a second start.  A run is forgotten if no start has reached the host,
        and stopped if one may have.  That is also done once the host's hall is evacuated.
        """
        host, job = self._find_host_and_job(run)
        if host is None or job is None:
            return
        await wait_for_records(self._runtime, run, host)
        async with self._turns.take(run, host) as has_turn:
            if has_turn:
                await self._send_until_answered(run, host, job)

    async def _send_until_answered(self, run: Run, host: Host, job: Job) -> None:
        """Send a start up to ``START_TRIES`` times; abandon the run if none is answered."""
        tries, sent_count = 0, 0
        while tries < START_TRIES and host.contact is HostContact.ANSWERING:
            if run.phase is not RunPhase.SENDING:
                return
            if sent_count and not are_hosts_known(self._runtime):
                # The run may be at work, and the host's report tells.
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if not may_send(self._runtime, run, host, job):
                break
            until_ms = self._grant_lease(host)
            if until_ms is not None:
                if not take_start(self._runtime, run, host):
                    break
                tries += 1
                outcome = await self._try_start(run, host, job, until_ms, sent_count > 0)
                if outcome is StartOutcome.SETTLED:
                    return
                if outcome in (StartOutcome.GIVEN_UP, StartOutcome.WITHHELD):
                    break
                sent_count += outcome is StartOutcome.UNANSWERED
            await asyncio.sleep(RETRY_PAUSE_S)
        if run.phase is not RunPhase.SENDING:
            # The host reported the run during the last attempt, or the run is being stopped.
            return
        if sent_count:
            self._runtime.jobs.stop(run)
        else:
            self._runtime.jobs.forget_run(run)
        self._runtime.wake()

    async def send_stop(self, run: Run) -> None:
        """Send a stop until the host has responded to it or the run has ended."""
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
        """Send one stop; return whether the host responded to it."""
        try:
            async with self._stop_slots[host.id]:
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
        """Send one pace order; after a failure the next check of the runs decides again."""
        run = change.run
        host = self._runtime.jobs.hosts.get(run.host_id)
        if host is None:
            return
        try:
            async with self._pace_slots[host.id]:
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

    def _grant_lease(self, host: Host) -> int | None:
        """Return the end of a lease granted now, on the host's clock; None if none is allowed."""
        lease_ms = self._runtime.get_lease_ms()
        return None if lease_ms is None else host.lease.grant(lease_ms, get_loop_s())

    async def _try_start(
        self, run: Run, host: Host, job: Job, until_ms: int, may_have_started: bool
    ) -> StartOutcome:
        """Send one start and handle the host's response.

        ``may_have_started`` is True if an earlier start had no response: the host may have
        executed that one, or may do so later, whatever its response to this one.
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
            get_start_timeout_s(host, get_loop_s()),
        )
        if withhold_if_evacuated(self._runtime, run, host):
            return StartOutcome.WITHHELD
        sent_at_s = record_sending(self._runtime, run)
        try:
            host.record_order_sent(get_loop_s())
            await self._send_recorded(run, host, order)
            host.record_response()
        except HostFencedError:
            raise
        except RunTooOldError as error:
            # The run has already ended on the host; its next report has the outcome.
            record_rejection(run, host, job, error, is_first=not may_have_started)
            host.record_response()
            run.settled_at_s = get_loop_s()
        except NoRoomError:
            host.health.pause(NO_CAPACITY_PAUSE_S, get_loop_s())
            return self._reject(run, host, "no room", may_have_started)
        except TicketRejectedError:
            tickets.drop(step, host.id)
            return self._reject(run, host, "ticket", may_have_started)
        except HostUnhealthyError as error:
            host.health.pause(UNHEALTHY_PAUSE_S, get_loop_s())
            return self._reject(run, host, str(error), may_have_started)
        except StartRejectedError as error:
            record_rejection(run, host, job, error, is_first=not may_have_started)
            return self._reject(run, host, f"{type(error).__name__}: {error}", may_have_started)
        except HostGoneError as error:
            if may_have_started:
                # The run may have crashed its host.  The crash is attributed when the host's
                # incarnation ends, with all runs that it had.
                return StartOutcome.SETTLED
            record_rejection(run, host, job, error, is_first=True)
            return self._reject(run, host, str(error), may_have_started=False)
        except (HostNoAnswerError, HostUnreachableError) as error:
            host.record_failure(error, get_loop_s())
            self._events.write(
                "start_unanswered",
                job=job.id,
                task=run.task.position,
                run=run.number,
                host=host.id,
                error=type(error).__name__,
                sent_ago_ms=round((get_loop_s() - sent_at_s) * 1000, 1),
            )
            if isinstance(error, HostNoAnswerError):
                if not host.has_certainly_got(error):
                    expect_longest_lease(self._runtime, run, host, sent_at_s)
                return StartOutcome.UNANSWERED
            if not may_have_started:
                run.sent_at_s = None
            return StartOutcome.UNSENT
        else:
            record_started(self._runtime, run, host, job)
        return StartOutcome.SETTLED

    async def _send_recorded(self, run: Run, host: Host, order: StartOrder) -> None:
        """Send a start, and track it while the host's next incarnation may still execute it."""
        unconfirmed, host_id = self._runtime.jobs.unconfirmed_starts, host.record.id
        unconfirmed.record_order_sent(host_id, run.key, get_loop_s())
        sent_at_s = get_loop_s()
        try:
            clock_ms = await self._context.hosts.start(host.record, order)
        except HostNoAnswerError:
            self._turns.record_answer(host, get_loop_s() - sent_at_s, is_answered=False)
            raise
        except StartRejectedError as error:
            unconfirmed.record_start_settled(host_id, run.key)
            record_start_lease(self._runtime, run, host, order, error.clock_ms)
            raise
        except HostError:
            unconfirmed.record_start_settled(host_id, run.key)
            raise
        unconfirmed.record_start_settled(host_id, run.key)
        self._turns.record_answer(host, get_loop_s() - sent_at_s, is_answered=True)
        record_start_lease(self._runtime, run, host, order, clock_ms)

    def _reject(self, run: Run, host: Host, reason: str, may_have_started: bool) -> StartOutcome:
        """Forget a run that its host rejected, unless an earlier start may still take effect."""
        host.record_response()
        self._events.write(
            "start_rejected",
            job=run.task.job_id,
            task=run.task.position,
            run=run.number,
            host=host.id,
            reason=reason,
            may_be_there=may_have_started,
        )
        if may_have_started:
            return StartOutcome.GIVEN_UP
        self._runtime.jobs.forget_run(run)
        self._runtime.wake()
        return StartOutcome.SETTLED

    def _find_host_and_job(self, run: Run) -> tuple[Host | None, Job | None]:
        jobs = self._runtime.jobs
        return jobs.hosts.get(run.host_id), jobs.jobs.get(run.task.job_id)
