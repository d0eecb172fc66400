"""Jobs of workspaces are counted against their shares."""

from testtools import TestCase

from robinthread._internal.durable.share_meter import ShareMeter

SHARES = {"maps": 4.0, "shop": 10.0, "rare": 0.5}


def count_beyond(meter: ShareMeter, workspace: str, jobs_per_s: float, for_s: float) -> int:
    """Submit jobs at an even rate; return how many are beyond the share."""
    count = round(jobs_per_s * for_s)
    return sum(meter.is_beyond(workspace, round(1000 * n / jobs_per_s)) for n in range(count))


class ShareMeterTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.meter = ShareMeter(lambda workspace: SHARES.get(workspace, 0.0))

    def test_usual_load_is_within_the_share(self) -> None:
        self.assertEqual(0, count_beyond(self.meter, "maps", 3.9, 20))

    def test_workspace_over_its_rate_gets_its_share_and_no_more(self) -> None:
        # Of 240 jobs, 4 per second plus a burst of one second are within the share.
        self.assertAlmostEqual(240 - 44, count_beyond(self.meter, "maps", 24.0, 10), delta=1)
        self.assertEqual(0, count_beyond(self.meter, "shop", 8.0, 10))

    def test_share_below_one_job_per_second_admits_single_jobs(self) -> None:
        self.assertEqual(0, count_beyond(self.meter, "rare", 0.4, 20))

    def test_job_without_a_workspace_or_a_share_is_never_beyond_it(self) -> None:
        for workspace in ("", "other"):
            self.assertEqual(0, count_beyond(self.meter, workspace, 100.0, 5))

    def test_clock_that_steps_back_adds_no_tokens(self) -> None:
        for _ in range(4):
            self.assertFalse(self.meter.is_beyond("maps", 10_000))
        self.assertTrue(self.meter.is_beyond("maps", 2_000))
        self.assertTrue(self.meter.is_beyond("maps", 10_100))
        self.assertFalse(self.meter.is_beyond("maps", 10_300))
