"""Pictures of a day, as SVG."""

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
    """Write a picture: hosts and jobs by pool over time, how long jobs took, and the worth."""
    # Names in the file stay the same from run to run, so that it can be kept and compared.
    with matplotlib.rc_context({"svg.hashsalt": "robinthread"}):
        figure, ((hosts, jobs), (took, worth)) = pyplot.subplots(2, 2, figsize=SIZE_INCHES)
        figure.suptitle(f"{deployment.name}, {run.label}, seed {day.seed}")
        for pool in deployment.pools:
            samples = [sample for sample in day.samples if sample.pool == pool]
            at_s = [sample.at_s for sample in samples]
            hosts.step(at_s, [sample.host_count for sample in samples], label=pool)
            jobs.step(at_s, [sample.job_count for sample in samples], label=pool)
        _finish(hosts, "hosts", "s")
        _finish(jobs, "jobs that have not ended", "s")
        _draw_latencies(took, day)
        _draw_worth(worth, day)
        figure.tight_layout()
        figure.savefig(Path(path), format="svg", metadata={"Date": None})
        pyplot.close(figure)


def _finish(axes: Any, title: str, x_label: str) -> None:
    axes.set_title(title)
    axes.set_xlabel(x_label)
    axes.legend()


def _draw_latencies(axes: Any, day: DayResult) -> None:
    by_queue: dict[str, list[float]] = defaultdict(list)
    for job in day.jobs:
        if job.took_s is not None:
            by_queue[job.queue].append(job.took_s)
    for queue, values in by_queue.items():
        values.sort()
        axes.step(values, _make_shares(values), label=queue)
    _finish(axes, "share of jobs that took so long at most", "s")


def _make_shares(values: Sequence[float]) -> list[float]:
    return [number / len(values) for number in range(1, len(values) + 1)]


def _draw_worth(axes: Any, day: DayResult) -> None:
    found = day.worth
    parts = {
        "on time": found.on_time,
        "worst 2 s": found.worst_window,
        "worst queue": found.worst_queue,
        "prices": -found.prices,
        "worth": found.total,
    }
    axes.barh(list(parts), list(parts.values()))
    axes.invert_yaxis()
    axes.set_title("share of the worth of all jobs")
