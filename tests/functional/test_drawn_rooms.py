"""Drawn days of rooms that shrink and grow; ``python -m bench drawn_rooms`` plays more.

Starts brought a host over its room on the stand-in in two ways: they waited for their turn while
it shrank, and the entries of hosts could not be read, while the store served all else.
"""

from testtools import TestCase

from tests.lib.drawn_rooms import find_on_capacity_day

FRESH_SEEDS = (0, 3)
# Days that tell where a part of the mend is missing, and which.
REGRESSION_SEEDS = {
    20: "hosts whose entries have not been read for long get nothing",
    47: "hosts whose entries have not been read for long get nothing",
    61: "a start looks at its host's room again before it is sent",
}


class DrawnCapacityTest(TestCase):
    def test_no_host_exceeds_its_capacity_and_all_jobs_end(self) -> None:
        found = map(find_on_capacity_day, (*FRESH_SEEDS, *REGRESSION_SEEDS))
        self.assertEqual([], [day for day in found if not day.is_clean])
