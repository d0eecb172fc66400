"""Requests to the advice service: which hosts may run the waiting steps."""

import asyncio
from typing import Final

from robinthread._internal.jobs.advice_calls import AdviceCalls, AdviceError
from robinthread._internal.jobs.job import Job
from robinthread._internal.jobs.placement import get_usable_hosts, sort_waiting
from robinthread._internal.models.host_advice import HostAdvice
from robinthread._internal.models.queue_policy import AdvicePolicy
from robinthread._internal.models.step_key import StepKey
from robinthread._internal.node.pool_runtime import PoolRuntime, get_loop_s

# Limits the hosts in one call, because the response time grows with their number.
HOSTS_PER_CALL_MAX: Final = 30
# How often waiting steps are checked for missing tickets, and the pause after a failed call.
POLL_PERIOD_S: Final = 0.05
RETRY_PAUSE_S: Final = 0.2
# Added to the expected response time, for network latency and for calls queued before this one.
TIMEOUT_SLACK_S: Final = 1.0


class AdviceFetcher:
    """Fetches tickets for the waiting steps of a pool, with one call at a time."""

    def __init__(self, runtime: PoolRuntime, calls: AdviceCalls) -> None:
        self._runtime = runtime
        self._calls = calls

    async def run(self) -> None:
        """Fetch tickets until cancelled."""
        while True:
            found = self._find_next()
            if found is None:
                await asyncio.sleep(POLL_PERIOD_S)
                continue
            await self._request_advice(*found)

    def _find_next(self) -> tuple[StepKey, AdvicePolicy, dict[str, str]] | None:
        """Return the most urgent step that lacks tickets, its policy and the hosts to query.

        The hosts are a map from their ids, by which the service knows them, to their current
        incarnations, for which the tickets are valid.  Return None if no step lacks a ticket.
        """
        pool, now_s = self._runtime.jobs, get_loop_s()
        if not any(pool.jobs[key.job_id].policy.advice for key in pool.waiting):
            return None
        now_ms = self._runtime.context.get_wall_ms()
        for task in sort_waiting(pool, now_ms):
            job: Job = pool.jobs[task.key.job_id]
            if job.policy.advice is None:
                continue
            by_free_cpu = sorted(
                (host for host in get_usable_hosts(pool, now_s)),
                key=lambda host: -host.free.cpu_millicores,
            )
            step = task.key.step_key
            unknown = pool.tickets.list_unknown(step, (host.id for host in by_free_cpu), now_s)
            if unknown:
                requested = {
                    pool.hosts[incarnation].record.id: incarnation
                    for incarnation in unknown[:HOSTS_PER_CALL_MAX]
                }
                return step, job.policy.advice, requested
        return None

    async def _request_advice(
        self, step: StepKey, policy: AdvicePolicy, incarnations: dict[str, str]
    ) -> None:
        requested_at_s = get_loop_s()
        expected_s = (policy.base_ms + policy.per_host_ms * len(incarnations)) / 1000
        try:
            advice = await self._calls.advise(
                step, list(incarnations), expected_s + TIMEOUT_SLACK_S
            )
        except AdviceError as error:
            self._runtime.events.write(
                "advice_failed",
                job=step.job_id,
                pool=self._runtime.pool,
                host_count=len(incarnations),
                error=str(error),
            )
            await asyncio.sleep(RETRY_PAUSE_S)
            return
        tickets = {
            incarnations[host]: ticket
            for host, ticket in advice.tickets.items()
            if host in incarnations
        }
        advised = HostAdvice(tickets, advice.valid_ms)
        self._runtime.jobs.tickets.record_advice(
            step, incarnations.values(), advised, requested_at_s
        )
        self._runtime.events.write(
            "advice_taken",
            job=step.job_id,
            pool=self._runtime.pool,
            asked_count=len(incarnations),
            allowed_count=len(advice.tickets),
            valid_ms=advice.valid_ms,
            took_ms=round((get_loop_s() - requested_at_s) * 1000),
        )
        self._runtime.wake()
