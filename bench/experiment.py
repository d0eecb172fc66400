"""Days of a small deployment, simulated as in experiments, with deterministic results."""

from pathlib import Path

from bench.result import BenchResult
from robinthread._internal.experiments.day import simulate_day
from robinthread._internal.experiments.deployment_file import parse_deployment
from robinthread._internal.experiments.estimates import estimate_mean
from robinthread._internal.settings.policy_settings import PolicySettings
from robinthread._internal.utils.files import read_text

FILE = Path(__file__).parents[1] / "deploy" / "experiments" / "two-queues.toml"
SEEDS = (1, 2, 3)


def run_short_experiment() -> BenchResult:
    """Simulate three days of a small deployment, and repeat the first to compare the results."""
    deployment = parse_deployment(read_text(str(FILE)), FILE.name).unwrap()
    days = [simulate_day(deployment, PolicySettings(), seed) for seed in SEEDS]
    again = simulate_day(deployment, PolicySettings(), SEEDS[0])
    counts = {
        "jobs": float(sum(day.job_count for day in days)),
        "served_share": sum(day.served_count for day in days) / sum(day.job_count for day in days),
        "on_time": estimate_mean([day.worth.on_time for day in days]).mean,
        "promises_broken": float(sum(len(day.breaks) for day in days)),
        "same_again": float(again == days[0]),
    }
    return BenchResult("experiment", counts)
