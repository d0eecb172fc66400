"""Workspaces' limits among drawn troubles; ``python -m bench drawn_limits`` plays more."""

from testtools import TestCase

from tests.lib.drawn_limits import find_on_limit_day

FRESH_SEEDS = (0, 1, 2, 3)
# Days that have shown a fault once, and its cause.
FAILED_SEEDS = {
    108: "a steward that began after a fall did not count what a new owner told of its runs",
}


class DrawnLimitsTest(TestCase):
    def test_no_workspace_exceeds_its_limit_or_waits_below_half_of_it(self) -> None:
        found = {seed: find_on_limit_day(seed) for seed in (*FRESH_SEEDS, *FAILED_SEEDS)}
        self.assertEqual({}, {seed: day for seed, day in found.items() if not day.is_clean})
