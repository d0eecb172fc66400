"""Run benches and print each count next to its last accepted value.

``python -m bench`` runs the benches in ``CHECKED``, ``python -m bench NAME`` a single one;
``--check`` exits with 1 if a count is outside its bound.  ``drawn_days``, ``drawn_waves``,
``drawn_crashes``, ``drawn_evacuations``, ``drawn_limits``, ``drawn_fixed_limits``,
``drawn_returns``, ``hidden_returns``, ``drawn_leases``, ``harsh_leases``, ``drawn_rooms``,
``drawn_sizes``, ``drawn_owners`` and ``odd_days`` simulate ``--days=N`` days, starting at the seed
``--first=N``.
``back_days`` does so too; ``--nodes=N``, ``--pools=N``, ``--hosts_a_pool=N`` and
``--jobs_per_s=N`` set its size.
``soak``, ``odd_soak`` and ``calm_soak`` run real processes in real time, with ``--nodes=N`` and
``--length_s=N``.
"""

import sys
from collections.abc import Callable
from functools import partial

from bench.back_at_size import run_back_days
from bench.black_holes import run_black_holes
from bench.bounds import Bound, iter_broken, read_bounds
from bench.control import run_control
from bench.drawn_crashes import run_drawn_crashes
from bench.drawn_days import run_drawn_days, run_odd_days
from bench.drawn_evacuations import run_drawn_evacuations
from bench.drawn_leases import run_drawn_leases, run_harsh_leases
from bench.drawn_limits import run_drawn_fixed_limits, run_drawn_limits
from bench.drawn_owners import run_drawn_owners
from bench.drawn_returns import run_drawn_returns, run_hidden_returns
from bench.drawn_rooms import run_drawn_rooms
from bench.drawn_sizes import run_drawn_sizes
from bench.drawn_waves import run_drawn_waves
from bench.experiment import run_short_experiment
from bench.overload import run_overload
from bench.parallel import run_in_processes
from bench.placing import run_placing
from bench.result import BenchResult
from bench.soak import run_calm_soaks, run_odd_soaks, run_soaks
from bench.storms import run_storms
from bench.takeover import run_takeover
from bench.urgent import run_urgent
from bench.waves import run_many_waves, run_wave_baselines, run_waves

CHECKED: dict[str, Callable[[], BenchResult]] = {
    "control": run_control,
    "overload": run_overload,
    "urgent": run_urgent,
    "black_holes": run_black_holes,
    "storm": run_storms,
    "takeover": run_takeover,
    "placing": run_placing,
    "experiment": run_short_experiment,
}
LONG: dict[str, Callable[[], BenchResult]] = {
    "waves": run_waves,
    "wave_baselines": run_wave_baselines,
    "many_waves": run_many_waves,
}
# Benches that take seeds, and those that take sizes as well.
DRAWN: dict[str, Callable[..., BenchResult]] = {
    "drawn_days": run_drawn_days,
    "odd_days": run_odd_days,
    "drawn_crashes": run_drawn_crashes,
    "drawn_evacuations": run_drawn_evacuations,
    "drawn_limits": run_drawn_limits,
    "drawn_fixed_limits": run_drawn_fixed_limits,
    "drawn_returns": run_drawn_returns,
    "hidden_returns": run_hidden_returns,
    "drawn_leases": run_drawn_leases,
    "harsh_leases": run_harsh_leases,
    "drawn_owners": run_drawn_owners,
    "drawn_rooms": run_drawn_rooms,
    "drawn_sizes": run_drawn_sizes,
    "drawn_waves": run_drawn_waves,
}
SIZED: dict[str, Callable[..., BenchResult]] = {
    "soak": run_soaks,
    "odd_soak": run_odd_soaks,
    "calm_soak": run_calm_soaks,
    "back_days": run_back_days,
}
SIZES = ("nodes", "pools", "hosts_a_pool", "lasting_a_pool", "jobs_per_s", "length_s")


def main(arguments: list[str]) -> int:
    """Run the named benches, or all in ``CHECKED``; return the exit code."""
    is_check = "--check" in arguments
    days, sizes = _read_days(arguments), _read_sizes(arguments)
    long = LONG | {name: partial(run, **days) for name, run in DRAWN.items()}
    long |= {name: partial(run, **days, sizes=sizes) for name, run in SIZED.items()}
    names = [name for name in arguments if not name.startswith("--")]
    unknown = [name for name in names if name not in CHECKED | long]
    if unknown:
        print(f"Unknown benches {', '.join(unknown)}; know {', '.join(CHECKED | long)}")
        return 2
    short = [name for name in names or CHECKED if name in CHECKED]
    results = run_in_processes(_run_checked, short)
    results += [long[name]() for name in names or ("waves",) if name in long]
    bounds = read_bounds()
    broken = [name for result in results for name in _print(result, bounds.get(result.name, {}))]
    print(f"bounds broken: {', '.join(broken) or 'none'}")
    return int(is_check and bool(broken))


def _read_days(arguments: list[str]) -> dict[str, int]:
    given = _read_given(arguments)
    names = {"first_seed": "--first", "days": "--days"}
    return {name: given[flag] for name, flag in names.items() if flag in given}


def _read_sizes(arguments: list[str]) -> dict[str, int]:
    given = _read_given(arguments)
    return {name: given[f"--{name}"] for name in SIZES if f"--{name}" in given}


def _read_given(arguments: list[str]) -> dict[str, int]:
    pairs = (each.split("=", 1) for each in arguments if "=" in each)
    return {name: int(value) for name, value in pairs}


def _run_checked(name: str) -> BenchResult:
    return CHECKED[name]()


def _print(result: BenchResult, bounds: dict[str, Bound]) -> list[str]:
    broken = list(iter_broken(result, bounds))
    print(f"--- {result.name}{': ' + result.note if result.note else ''}")
    for name, value in result.counts.items():
        bound = bounds.get(name)
        accepted_text = f"accepted {bound.accepted:g}" if bound else ""
        mark = "  BROKEN" if name in broken else ""
        print(f"{name:48s}{value:14g}  {accepted_text}{mark}")
    return [f"{result.name}.{name}" for name in broken]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
