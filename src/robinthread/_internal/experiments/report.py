"""Tables of an experiment: the metrics of each policy and the differences between policies."""

from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import Final

from tabulate import tabulate

from robinthread._internal.experiments.day_result import DayResult
from robinthread._internal.experiments.estimates import (
    Estimate,
    estimate_difference,
    estimate_mean,
)
from robinthread._internal.experiments.runs import Run

Metric = Callable[[DayResult], float]
METRICS: Final[dict[str, Metric]] = {
    "worth": lambda day: day.worth.total,
    "on time": lambda day: day.worth.on_time,
    "worst 2 s": lambda day: day.worth.worst_window,
    "worst queue": lambda day: day.worth.worst_queue,
    "prices": lambda day: day.worth.prices,
    "machine s": lambda day: day.machine_s,
    "moves": lambda day: float(day.move_count),
    "busiest node": lambda day: day.busiest_node,
}


def format_report(runs: Sequence[Run], results: Sequence[DayResult]) -> str:
    """Return a table with a column per label, and a column of the difference if there are two."""
    by_label = _group_by_label(runs, results)
    rows = [
        [name, *(str(_estimate(metric, days)) for days in by_label.values())]
        for name, metric in METRICS.items()
    ]
    headers = ["mean", *by_label]
    if len(by_label) == 2:
        base, change = by_label.values()
        headers.append("difference")
        for row, metric in zip(rows, METRICS.values(), strict=True):
            row.append(_format_difference(metric, base, change))
    return tabulate(rows, headers, disable_numparse=True)


def format_differences(runs: Sequence[Run], results: Sequence[DayResult]) -> str:
    """Return a table of each label's differences from the first label, paired by seed."""
    by_label = _group_by_label(runs, results)
    base, *_ = by_label.values()
    rows = [
        [label, *(_format_difference(metric, base, days) for metric in METRICS.values())]
        for label, days in by_label.items()
        if days is not base
    ]
    base_row = [
        next(iter(by_label)),
        *(str(_estimate(metric, base)) for metric in METRICS.values()),
    ]
    return tabulate([base_row, *rows], ["against the first", *METRICS], disable_numparse=True)


def _group_by_label(
    runs: Sequence[Run], results: Sequence[DayResult]
) -> dict[str, list[DayResult]]:
    by_label: dict[str, list[DayResult]] = defaultdict(list)
    for run, result in zip(runs, results, strict=True):
        by_label[run.label].append(result)
    return by_label


def _estimate(metric: Metric, days: Sequence[DayResult]) -> Estimate:
    return estimate_mean(list(map(metric, days)))


def _format_difference(
    metric: Metric, base: Sequence[DayResult], change: Sequence[DayResult]
) -> str:
    difference = estimate_difference(list(map(metric, base)), list(map(metric, change)))
    return f"{difference}{'' if difference.is_significant else ' (unclear)'}"
