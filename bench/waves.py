"""Waves of both deployments, compared with their bounds and baselines, and under failures."""

from collections.abc import Iterable
from dataclasses import dataclass

from tests.lib.virtual import run_virtual

from bench.deployments import DEPLOYMENTS, NOGOON, WIJESEKERA, Deployment, with_policy
from bench.parallel import run_in_processes
from bench.result import BenchResult
from bench.wave_run import WaveFigures, run_wave

SEEDS = (1, 2)
FAILING_SEEDS = range(100, 116)
MANY_SEEDS = range(1000, 1200)
SMALL_POOLS = ("a", "b")
BASELINES = ("one_at_a_time", "batch")


@dataclass(frozen=True)
class WaveJob:
    """Parameters of a wave that runs in a separate process."""

    label: str
    deployment: Deployment
    seed: int
    with_failures: bool = False
    pools: tuple[str, ...] = ("a", "b", "c", "d", "e")


def run_waves() -> BenchResult:
    """Compare waves with their lower bounds, and count violated guarantees under failures."""
    jobs = [WaveJob(each.name, each, seed) for each in DEPLOYMENTS for seed in SEEDS]
    counts: dict[str, float] = {}
    figures = run_in_processes(_run, jobs)
    for deployment in DEPLOYMENTS:
        own = [
            found for job, found in zip(jobs, figures, strict=True) if job.label == deployment.name
        ]
        counts |= _compare(deployment.name, own)
    failing = run_in_processes(_run, _make_failing_jobs(FAILING_SEEDS))
    counts |= _sum_promises("failing", [*figures, *failing])
    return BenchResult("waves", counts)


def run_wave_baselines() -> BenchResult:
    """Measure both baselines and sweeps of the allowed wait and buffer weight (some minutes)."""
    jobs = [
        WaveJob(f"{each.name}_{policy}", with_policy(each, policy=policy), 1)
        for each in DEPLOYMENTS
        for policy in BASELINES
    ]
    jobs += [
        WaveJob(f"sweep_{wait_s:g}", with_policy(NOGOON, drain_timeout_s=wait_s), 1)
        for wait_s in (5.0, 20.0, 60.0, 120.0, 300.0)
    ]
    jobs += [
        WaveJob(f"weight_{weight:g}", with_policy(WIJESEKERA, buffer_weight=weight), 1)
        for weight in (0.0, 0.25, 1.0, 4.0, 16.0)
    ]
    counts: dict[str, float] = {}
    for job, found in zip(jobs, run_in_processes(_run, jobs), strict=True):
        counts |= _compare(job.label, [found])
    return BenchResult("wave_baselines", counts)


def run_many_waves() -> BenchResult:
    """Run 200 waves with failures, one per seed, and count violated guarantees."""
    return BenchResult(
        "many_waves",
        _sum_promises("many", run_in_processes(_run, _make_failing_jobs(MANY_SEEDS))),
    )


def _make_failing_jobs(seeds: Iterable[int]) -> list[WaveJob]:
    return [
        WaveJob("failing", DEPLOYMENTS[seed % 2], seed, with_failures=True, pools=SMALL_POOLS)
        for seed in seeds
    ]


def _run(job: WaveJob) -> WaveFigures:
    return run_virtual(run_wave(job.deployment, job.seed, job.with_failures, job.pools))


def _compare(label: str, figures: list[WaveFigures]) -> dict[str, float]:
    count = len(figures)
    return {
        f"{label}_rollout_ratio": round(
            sum(found.rollout_s / found.rollout_bound_s for found in figures) / count, 3
        ),
        f"{label}_buffer_ratio": round(
            sum(found.buffer_slot_s / found.buffer_bound_slot_s for found in figures) / count, 3
        ),
        f"{label}_moves": sum(found.moves for found in figures),
        f"{label}_moves_ratio": round(
            sum(found.moves for found in figures)
            / max(1, sum(found.moves_bound for found in figures)),
            3,
        ),
    }


def _sum_promises(label: str, figures: list[WaveFigures]) -> dict[str, float]:
    return {
        f"{label}_waves": len(figures),
        f"{label}_budgets_broken": sum(found.budgets_broken for found in figures),
        f"{label}_requests_cut": sum(found.requests_cut for found in figures),
        f"{label}_requests": sum(found.requests for found in figures),
    }
