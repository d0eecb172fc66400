"""Days of troubles that are drawn from seeds; ``python -m bench drawn_days`` plays more."""

from testtools import TestCase

from tests.lib.drawn_days import find_on_day

FRESH_SEEDS = (0, 2)
KEPT_ID_SEEDS = (1, 3)
# Days that have shown a fault once, and its cause.
FAILED_SEEDS = {
    9: "an owner waited a whole lease, from its opening on, for runs on a host that was gone",
    55: "the same, after starts at a host where nobody listened any more",
    98: "a start that reached nobody held its task up until the host's lease was over",
    153: "the same, with the pool passed on meanwhile",
    123: "a run whose stop was under way counted as gone at the next owner, and ran twice",
    21: "the store's stand-in told an end that was later than the records of its page",
    25: "the hosts' ledger counted the note of an end whose host's lease had lapsed before",
}


class DrawnDaysTest(TestCase):
    def test_drawn_days_have_no_violations(self) -> None:
        self.assertEqual(
            [], [found for found in map(find_on_day, FRESH_SEEDS) if not found.is_clean]
        )

    def test_drawn_days_with_kept_host_ids_have_no_violations(self) -> None:
        found = [find_on_day(seed, keeps_host_ids=True) for seed in KEPT_ID_SEEDS]
        self.assertEqual([], [day for day in found if not day.is_clean])

    def test_days_that_failed_before_have_no_violations(self) -> None:
        found = {day: find_on_day(day) for day in FAILED_SEEDS}
        broken = {seed: FAILED_SEEDS[seed] for seed, day in found.items() if not day.is_clean}
        self.assertEqual({}, broken, str([found[seed] for seed in broken]))
