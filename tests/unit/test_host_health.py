"""Pauses of a host that rejects starts."""

from testtools import TestCase

from robinthread._internal.jobs.host_health import HostHealth


class RejectedStartsTest(TestCase):
    def test_rejections_of_one_job_do_not_pause_a_host(self) -> None:
        """Guards against a malformed job that takes the hosts away from all others."""
        health = HostHealth()
        for now_s in range(20):
            health.record_rejection("a", is_of_host=False, now_s=now_s)
        self.assertEqual(0.0, health.paused_until_s)
        health.record_rejection("b", is_of_host=False, now_s=20.0)
        self.assertAlmostEqual(20.3, health.paused_until_s)

    def test_pauses_double_up_to_a_maximum_until_a_start_is_confirmed(self) -> None:
        """Guards against a rejecting host that is asked again at a constant rate."""
        health, now_s, pauses_s = HostHealth(), 10.0, []
        for _ in range(7):
            for _ in range(5):
                health.record_rejection("a", is_of_host=True, now_s=now_s)
            pauses_s.append(round(health.paused_until_s - now_s, 3))
            now_s = health.paused_until_s
        self.assertEqual([0.3, 0.6, 1.2, 2.4, 4.8, 5.0, 5.0], pauses_s)
        health.record_start()
        health.record_rejection("a", is_of_host=True, now_s=now_s)
        self.assertAlmostEqual(0.3, health.paused_until_s - now_s)
