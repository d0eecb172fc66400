"""An experiment's table: each policy's worth and its parts, and what a change is worth."""

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

Figure = Callable[[DayResult], float]
FIGURES: Final[dict[str, Figure]] = {
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
    """Return a table of all policies; with two, their difference in a column of its own."""
    by_label = _sort_by_label(runs, results)
    rows = [
        [name, *(str(_estimate(figure, days)) for days in by_label.values())]
        for name, figure in FIGURES.items()
    ]
    headers = ["mean", *by_label]
    if len(by_label) == 2:
        base, change = by_label.values()
        headers.append("difference")
        for row, figure in zip(rows, FIGURES.values(), strict=True):
            row.append(_format_difference(figure, base, change))
    return tabulate(rows, headers, disable_numparse=True)


def format_differences(runs: Sequence[Run], results: Sequence[DayResult]) -> str:
    """Return a table of what each arm is worth against the first one, seed by seed."""
    by_label = _sort_by_label(runs, results)
    base, *_ = by_label.values()
    rows = [
        [label, *(_format_difference(figure, base, days) for figure in FIGURES.values())]
        for label, days in by_label.items()
        if days is not base
    ]
    base_row = [
        next(iter(by_label)),
        *(str(_estimate(figure, base)) for figure in FIGURES.values()),
    ]
    return tabulate([base_row, *rows], ["against the first", *FIGURES], disable_numparse=True)


def _sort_by_label(runs: Sequence[Run], results: Sequence[DayResult]) -> dict[str, list[DayResult]]:
    by_label: dict[str, list[DayResult]] = defaultdict(list)
    for run, result in zip(runs, results, strict=True):
        by_label[run.label].append(result)
    return by_label


def _estimate(figure: Figure, days: Sequence[DayResult]) -> Estimate:
    return estimate_mean(list(map(figure, days)))


def _format_difference(
    figure: Figure, base: Sequence[DayResult], change: Sequence[DayResult]
) -> str:
    found = estimate_difference(list(map(figure, base)), list(map(figure, change)))
    return f"{found}{'' if found.is_significant else ' (unclear)'}"
