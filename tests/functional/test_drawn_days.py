"""Days of random faults, drawn from seeds; ``python -m bench drawn_days`` plays more seeds."""

from testtools import TestCase

from tests.lib.drawn_days import find_on_day

FRESH_SEEDS = (0, 2)
KEPT_ID_SEEDS = (1, 3)
# Seeds of days that once failed, with the cause.
FAILED_SEEDS = {
    9: "an owner waited a whole lease after its opening for runs on a host that had ended",
    55: "the same, after starts sent to a host whose process had ended",
    98: "a start that reached no process delayed its task until the host's lease had expired",
    153: "the same, with a change of the pool's owner in between",
    123: "the next owner counted a run that was still stopping as ended, and it ran twice",
    21: "the store's stand-in reported an end offset beyond the records of its page",
    25: "the hosts' ledger counted an end that was recorded after the host's lease had lapsed",
}

# Days with delays of answers and odd input, on which starts came late on draining hosts (2, 6) or
# nobody served the pool (4).
ODD_SEEDS = (2, 4, 6)


class DrawnDaysTest(TestCase):
    def test_drawn_days_have_no_violations(self) -> None:
        self.assertEqual(
            [], [found for found in map(find_on_day, FRESH_SEEDS) if not found.is_clean]
        )

    def test_drawn_days_with_kept_host_ids_have_no_violations(self) -> None:
        found = [find_on_day(seed, keeps_host_ids=True) for seed in KEPT_ID_SEEDS]
        self.assertEqual([], [day for day in found if not day.is_clean])

    def test_days_with_delays_and_odd_input_have_no_violations(self) -> None:
        """One odd record, and nodes no longer learned which hosts drain, or opened no pool."""
        found = [find_on_day(seed, has_delays=True) for seed in ODD_SEEDS]
        self.assertEqual([], [day for day in found if not day.is_clean])

    def test_days_that_failed_before_have_no_violations(self) -> None:
        found = {day: find_on_day(day) for day in FAILED_SEEDS}
        broken = {seed: FAILED_SEEDS[seed] for seed, day in found.items() if not day.is_clean}
        self.assertEqual({}, broken, str([found[seed] for seed in broken]))
