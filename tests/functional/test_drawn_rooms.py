"""Random days on which the capacities of hosts change; ``python -m bench drawn_rooms`` runs more.

Starts exceeded a host's capacity on the stand-in in two ways: they were queued while the host
shrank, or the entries of hosts could not be read while the store served all other requests.
"""

from testtools import TestCase

from tests.lib.drawn_rooms import find_on_capacity_day

FRESH_SEEDS = (0, 3)
# Days that fail if a part of the fix is missing, and that part.
REGRESSION_SEEDS = {
    20: "hosts whose entries have not been read recently get no work",
    47: "hosts whose entries have not been read recently get no work",
    61: "a start checks its host's capacity again before it is sent",
}


class DrawnCapacityTest(TestCase):
    def test_no_host_exceeds_its_capacity_and_all_jobs_end(self) -> None:
        found = map(find_on_capacity_day, (*FRESH_SEEDS, *REGRESSION_SEEDS))
        self.assertEqual([], [day for day in found if not day.is_clean])
