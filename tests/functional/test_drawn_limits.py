"""Limits of workspaces during random faults; ``python -m bench drawn_limits`` plays more seeds."""

from testtools import TestCase

from tests.lib.drawn_limits import find_on_limit_day

FRESH_SEEDS = (0, 1, 2, 3)
# Seeds of days that once failed, with the cause.
FAILED_SEEDS = {
    108: "a steward that began after a limit had fallen ignored the runs that a new owner reported",
}


class DrawnLimitsTest(TestCase):
    def test_no_workspace_exceeds_its_limit_or_waits_below_half_of_it(self) -> None:
        found = {seed: find_on_limit_day(seed) for seed in (*FRESH_SEEDS, *FAILED_SEEDS)}
        self.assertEqual({}, {seed: day for seed, day in found.items() if not day.is_clean})
