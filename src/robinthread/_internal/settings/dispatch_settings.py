"""Settings of dispatchers."""

from dataclasses import dataclass


@dataclass(frozen=True)
class DispatchSettings:
    """Settings of the dispatcher of a pool in a data hall.

    ``urgent_start_s`` is the maximum wait of urgent work; work of lower priority is
    checkpointed after ``preempt_after_s``.  A host whose last
    ``suspend_after_failures`` distinct jobs failed receives no work for
    ``suspend_min_s``, doubled with each failed probe up to ``suspend_max_s``;
    after ``set_aside_after_suspensions`` suspensions it is set aside if its
    budget allows.  A job that failed on ``set_aside_after_hosts`` distinct hosts
    is refused for ``set_aside_s``.  A task that was stopped at its deadline counts
    against its host only if it ran ``slow_factor`` times longer than the mean.
    With ``route_by_outcome`` off, work is routed by load alone, which is the
    baseline of the benchmarks.
    """

    queue_max: int = 2000
    urgent_start_s: float = 9.3
    preempt_after_s: float = 2.0
    first_run_estimate_s: float = 0.05
    suspend_after_failures: int = 3
    suspend_min_s: float = 1.0
    suspend_max_s: float = 30.0
    set_aside_after_suspensions: int = 6
    set_aside_after_hosts: int = 3
    set_aside_s: float = 60.0
    lease_grace_s: float = 2.0
    report_interval_s: float = 5.0
    host_fail_after_s: float = 5.0
    takeover_wait_s: float = 0.3
    run_estimate_weight: float = 0.1
    slow_factor: float = 4.0
    route_by_outcome: bool = True
