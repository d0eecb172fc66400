"""Simulation of several seeds and policies in parallel processes."""

import os
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Final

from tqdm import tqdm

from robinthread._internal.experiments.day import simulate_day
from robinthread._internal.experiments.day_result import DayResult
from robinthread._internal.experiments.deployment import Deployment
from robinthread._internal.settings.policy_settings import PolicySettings

PROCESSES_MAX: Final = os.cpu_count() or 1


@dataclass(frozen=True)
class Arm:
    """An arm of an experiment: deployments under a policy, simulated with each seed.

    All arms list their variants of the deployments in the same order.
    """

    label: str
    deployments: tuple[Deployment, ...]
    policy: PolicySettings


@dataclass(frozen=True)
class Run:
    """A day to simulate; ``label`` is the label of its arm."""

    label: str
    deployment: Deployment
    policy: PolicySettings
    seed: int


def make_runs(arms: Sequence[Arm], seeds: Sequence[int]) -> list[Run]:
    """Make the runs of all arms and seeds, ordered by deployment, then seed, then arm."""
    return [
        Run(arm.label, deployment, arm.policy, seed)
        for deployments in zip(*(arm.deployments for arm in arms), strict=True)
        for seed in seeds
        for arm, deployment in zip(arms, deployments, strict=True)
    ]


def simulate_runs(runs: Sequence[Run], processes: int, shows_progress: bool) -> list[DayResult]:
    """Simulate all runs and return their results in the same order."""
    if processes == 1:
        return list(map(_simulate, _iter_with_progress(runs, shows_progress)))
    with ProcessPoolExecutor(min(processes, len(runs))) as executor:
        results = executor.map(_simulate, runs)
        return list(tqdm(results, total=len(runs), disable=not shows_progress, unit="day"))


def _iter_with_progress(runs: Sequence[Run], shows_progress: bool) -> Iterable[Run]:
    return tqdm(runs, disable=not shows_progress, unit="day")


def _simulate(run: Run) -> DayResult:
    return simulate_day(run.deployment, run.policy, run.seed)
