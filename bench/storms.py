"""Bench that runs one storm with a fixed seed."""

from dataclasses import replace

from tests.lib.fleets import SETTINGS
from tests.lib.virtual import run_virtual

from bench.result import BenchResult
from bench.storm import run_storm

REQUESTS = 20_000
SEED = 1


def run_storms() -> BenchResult:
    """Run one storm of ``REQUESTS`` requests and count violated guarantees."""
    tally = run_virtual(run_storm(REQUESTS, SEED, replace(SETTINGS)))
    return BenchResult(
        "storm",
        {
            "requests": REQUESTS,
            "duplicates": tally.duplicates,
            "connections_lost": tally.connections_lost,
            "run_twice": tally.run_twice,
            "lost": tally.lost,
            "mixed_up": tally.mixed_up,
            "said_did_not_run_but_ran": tally.said_did_not_run_but_ran,
            "ran": tally.answers["RAN"],
            "busy_refusals": tally.busy_refusals,
            "claim_appends": tally.claim_appends,
        },
    )
