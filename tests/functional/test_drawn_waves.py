"""Maintenance waves during random faults; ``python -m bench drawn_waves`` plays more seeds."""

from testtools import TestCase

from tests.lib.drawn_waves import find_on_wave_day

FRESH_SEEDS = (0, 1)
# Seeds of days that once failed, with the cause.
FAILED_SEEDS = {
    8: "two waves with the same machines started one machine too many in one step",
    14: "a delayed list showed machines in their state before the orders",
    20: "a wave that was requested again included machines of another wave, which were down",
    123: "machines counted as back before their hosts had started",
    1232: "a machine that was up without a host counted as back after 3 s",
}


class DrawnWavesTest(TestCase):
    def test_no_wave_exceeds_its_bound_and_all_end(self) -> None:
        found = {seed: find_on_wave_day(seed) for seed in (*FRESH_SEEDS, *FAILED_SEEDS)}
        self.assertEqual({}, {seed: day for seed, day in found.items() if not day.is_clean})
