"""Random days of jobs over the platform's limits; ``python -m bench drawn_sizes`` runs more."""

from testtools import TestCase

from tests.lib.drawn_sizes import find_on_sized_day

FRESH_SEEDS = (1, 2, 3, 4)


class DrawnSizesTest(TestCase):
    def test_no_task_runs_twice_and_all_jobs_succeed(self) -> None:
        """Tasks behind a full report, or in a record over its limit, ran twice or not at all."""
        found = map(find_on_sized_day, FRESH_SEEDS)
        self.assertEqual([], [day for day in found if not day.is_clean])
