"""Plots of a simulated day, as SVG files."""

from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot

from robinthread._internal.experiments.day_result import DayResult
from robinthread._internal.experiments.deployment import Deployment
from robinthread._internal.experiments.runs import Run

SIZE_INCHES: Final = (9.0, 9.0)


def plot_day(deployment: Deployment, run: Run, day: DayResult, path: str) -> None:
    """Plot hosts and jobs by pool over time, the durations of jobs and the parts of the worth."""
    # The salt makes the ids in the SVG file deterministic, so that files can be compared.
    with matplotlib.rc_context({"svg.hashsalt": "robinthread"}):
        figure, ((hosts, jobs), (durations, worth)) = pyplot.subplots(2, 2, figsize=SIZE_INCHES)
        figure.suptitle(f"{deployment.name}, {run.label}, seed {day.seed}")
        for pool in deployment.pools:
            samples = [sample for sample in day.samples if sample.pool == pool]
            at_s = [sample.at_s for sample in samples]
            hosts.step(at_s, [sample.host_count for sample in samples], label=pool)
            jobs.step(at_s, [sample.job_count for sample in samples], label=pool)
        _label_axes(hosts, "hosts", "s")
        _label_axes(jobs, "jobs that have not ended", "s")
        _plot_durations(durations, day)
        _plot_worth(worth, day)
        figure.tight_layout()
        figure.savefig(Path(path), format="svg", metadata={"Date": None})
        pyplot.close(figure)


def _label_axes(axes: Any, title: str, x_label: str) -> None:
    axes.set_title(title)
    axes.set_xlabel(x_label)
    axes.legend()


def _plot_durations(axes: Any, day: DayResult) -> None:
    by_queue: dict[str, list[float]] = defaultdict(list)
    for job in day.jobs:
        if job.took_s is not None:
            by_queue[job.queue].append(job.took_s)
    for queue, values in by_queue.items():
        values.sort()
        axes.step(values, _make_cumulative_shares(values), label=queue)
    _label_axes(axes, "cumulative share of finished jobs by duration", "s")


def _make_cumulative_shares(values: Sequence[float]) -> list[float]:
    return [number / len(values) for number in range(1, len(values) + 1)]


def _plot_worth(axes: Any, day: DayResult) -> None:
    day_worth = day.worth
    parts = {
        "on time": day_worth.on_time,
        "worst 2 s": day_worth.worst_window,
        "worst queue": day_worth.worst_queue,
        "prices": -day_worth.prices,
        "worth": day_worth.total,
    }
    axes.barh(list(parts), list(parts.values()))
    axes.invert_yaxis()
    axes.set_title("share of the worth of all jobs")
