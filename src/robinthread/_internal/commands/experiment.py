"""Simulation of days of a deployment, and comparison of two policies."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

import msgspec
from returns.result import Result, Success

from robinthread._internal.experiments.ablation import iter_ablations
from robinthread._internal.experiments.day_result import DayResult
from robinthread._internal.experiments.deployment import Deployment
from robinthread._internal.experiments.deployment_file import parse_deployment
from robinthread._internal.experiments.drawn_deployments import draw_deployment
from robinthread._internal.experiments.report import format_differences, format_report
from robinthread._internal.experiments.runs import (
    PROCESSES_MAX,
    Arm,
    Run,
    make_runs,
    simulate_runs,
)
from robinthread._internal.experiments.variants import make_variant
from robinthread._internal.results import Fault, FaultError, ResultCode, make_fault
from robinthread._internal.settings.parse import parse_policy
from robinthread._internal.settings.policy_settings import PolicySettings
from robinthread._internal.utils.files import read_text

DEFAULTS = "defaults"

T = TypeVar("T")


@dataclass(frozen=True)
class ExperimentOptions:
    """Deployments to simulate, from ``file`` or ``drawn`` generated ones, and output files.

    ``vary`` is a key of the deployment file and the values to simulate, as
    machines.count=6,8,12.  ``ablates`` adds a variant of the policy for each of its mechanisms,
    with that mechanism switched.
    """

    file: str = ""
    drawn: int = 0
    seeds: int = 5
    first_seed: int = 1
    policy: str = ""
    compare: str = ""
    vary: str = ""
    ablates: bool = False
    output: str = ""
    plot: str = ""
    processes: int = 0
    shows_progress: bool = True


def run_experiment(options: ExperimentOptions) -> int:
    """Simulate the days and print a table of the results, for both policies with ``compare``.

    Return 1 if a simulated day broke a promise, else 0.
    """
    arms = list(_iter_arms(options))
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    runs = make_runs(arms, seeds)
    results = simulate_runs(runs, options.processes or PROCESSES_MAX, options.shows_progress)
    if options.output:
        _write_lines(options.output, runs, results)
    if options.plot:
        from robinthread._internal.experiments.plots import plot_day

        plot_day(runs[0].deployment, runs[0], results[0], options.plot)
    print((format_differences if options.ablates else format_report)(runs, results))
    broken = [broken for result in results for broken in result.breaks]
    print("\n".join(("promises broken:", *broken)) if broken else "no promise broken")
    return int(bool(broken))


def _iter_arms(options: ExperimentOptions) -> Iterator[Arm]:
    deployments = _read_deployments(options)
    key, _, values = options.vary.partition("=")
    for label, policy in _read_policies(options).items():
        if not key:
            yield Arm(label, tuple(deployments), policy)
            continue
        for value in values.split(","):
            varied = tuple(make_variant(one, key, value) for one in deployments)
            name = f"{key}={value}"
            yield Arm(f"{label} {name}" if options.compare else name, varied, policy)


def _read_deployments(options: ExperimentOptions) -> list[Deployment]:
    if bool(options.file) == bool(options.drawn) or not options.seeds:
        text = "expected either --file or --drawn, and --seeds of at least 1"
        raise FaultError(make_fault(ResultCode.BAD_ARGUMENT, text))
    if options.file:
        return [_unwrap(parse_deployment(read_text(options.file), options.file))]
    return list(map(draw_deployment, range(1, options.drawn + 1)))


def _read_policies(options: ExperimentOptions) -> dict[str, PolicySettings]:
    paths = [options.policy, *filter(None, [options.compare])]
    policies = {
        path or DEFAULTS: _unwrap(parse_policy(read_text(path), path)) if path else PolicySettings()
        for path in paths
    }
    if options.ablates:
        policies |= dict(iter_ablations(next(iter(policies.values()))))
    return policies


def _unwrap(result: Result[T, Fault]) -> T:
    if isinstance(result, Success):
        return result.unwrap()
    raise FaultError(result.failure())


def _write_lines(path: str, runs: Sequence[Run], results: Sequence[DayResult]) -> None:
    Path(path).write_bytes(b"".join(_iter_lines(runs, results)))


def _iter_lines(runs: Sequence[Run], results: Sequence[DayResult]) -> Iterator[bytes]:
    for run, result in zip(runs, results, strict=True):
        row = {"deployment": run.deployment.name, "policy": run.label, "seed": run.seed}
        figures = {
            "worth": result.worth,
            "jobs": result.job_count,
            "served": result.served_count,
            "machine_s": result.machine_s,
            "moves": result.move_count,
            "busiest_node": result.busiest_node,
            "breaks": result.breaks,
        }
        yield msgspec.json.encode(row | figures) + b"\n"
