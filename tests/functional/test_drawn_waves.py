"""Maintenance waves among drawn troubles; ``python -m bench drawn_waves`` plays more."""

from testtools import TestCase

from tests.lib.drawn_waves import find_on_wave_day

FRESH_SEEDS = (0, 1)
# Days that have shown a fault once, and its cause.
FAILED_SEEDS = {
    8: "two waves with the same machines began one too many in one step",
    14: "a list that was late showed machines as they were before their orders",
    20: "a wave that was asked for again had machines of another one, which were down",
    123: "machines counted as back before their hosts had come",
    1232: "a machine that was up without a host counted as back after 3 s",
}


class DrawnWavesTest(TestCase):
    def test_no_wave_exceeds_its_bound_and_all_end(self) -> None:
        found = {seed: find_on_wave_day(seed) for seed in (*FRESH_SEEDS, *FAILED_SEEDS)}
        self.assertEqual({}, {seed: day for seed, day in found.items() if not day.is_clean})
