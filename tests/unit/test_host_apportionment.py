"""Apportioning of machines among pools that need more than there are."""

from testtools import TestCase

from robinthread._internal.fleet.host_apportionment import apportion_hosts
from robinthread._internal.fleet.sizing import HostTiers, PoolSize
from robinthread._internal.settings.policy_settings import FleetPolicy
from tests.lib.turns import get_oracle_share, play_turns

MACHINES = 60
TURNS = 12
ON = FleetPolicy(shares_when_short=True)
OFF = FleetPolicy(shares_when_short=False)


def apportion(machines: int, **needs: tuple[int, int, int]) -> dict[str, tuple[int, int]]:
    """Return how many hosts each pool may fetch and keep, from its needs by tier."""
    tiers = {pool: HostTiers(*counts) for pool, counts in needs.items()}
    sizes = {pool: PoolSize(counts[2], counts[2]) for pool, counts in needs.items()}
    apportioned = apportion_hosts(sizes, tiers, machines)
    return {pool: (size.fetch_count, size.keep_count) for pool, size in apportioned.items()}


class ApportionHostsTest(TestCase):
    def test_pools_get_what_they_need_if_hosts_suffice(self) -> None:
        self.assertEqual({"a": (20, 20), "b": (40, 40)}, apportion(60, a=(2, 5, 20), b=(2, 40, 40)))

    def test_late_jobs_take_no_hosts_from_jobs_that_can_be_on_time(self) -> None:
        found = apportion(60, a=(2, 2, 100), b=(2, 50, 80))
        self.assertEqual(50 + 2, found["b"][0])
        self.assertEqual(8, found["a"][0])

    def test_lasting_tasks_come_first(self) -> None:
        found = apportion(20, a=(12, 12, 12), b=(2, 90, 90))
        self.assertEqual((12, 12), found["a"])
        self.assertEqual(8, found["b"][0])

    def test_pools_with_equal_needs_get_equal_shares(self) -> None:
        found = apportion(61, **dict.fromkeys("abcd", (2, 80, 80)))
        self.assertEqual([15, 15, 15, 16], sorted(fetch for fetch, _keep in found.values()))

    def test_pool_keeps_a_margin_over_its_share(self) -> None:
        fetch, keep = apportion(60, a=(2, 40, 40), b=(2, 40, 40))["a"]
        self.assertEqual((30, 33), (fetch, keep))

    def test_shares_do_not_exceed_the_number_of_hosts(self) -> None:
        for machines in range(0, 90, 7):
            found = apportion(machines, a=(2, 30, 50), b=(9, 9, 70), c=(2, 2, 2))
            self.assertLessEqual(sum(fetch for fetch, _keep in found.values()), max(machines, 0))


class TurnsTest(TestCase):
    """Four queues with peaks in turns on 60 machines; a peak needs all of them or more."""

    def test_each_queue_is_served_and_more_jobs_are_on_time(self) -> None:
        for wanted, on_time_min, least_min in (
            (60, 0.42, 0.39),
            (88, 0.29, 0.27),
            (120, 0.22, 0.2),
        ):
            on = play_turns(ON, MACHINES, wanted, TURNS)
            off = play_turns(OFF, MACHINES, wanted, TURNS)
            self.assertGreater(on.total_on_time, on_time_min)
            self.assertGreater(on.total_on_time, 1.3 * off.total_on_time)
            self.assertGreater(min(on.on_time.values()), least_min)
            self.assertGreater(on.total_on_time, 0.55 * get_oracle_share(MACHINES, wanted))

    def test_queue_at_its_peak_gets_a_quarter_of_its_hosts_within_the_time_of_a_move(self) -> None:
        self.assertGreater(play_turns(OFF, MACHINES, 88, TURNS).wait_s, 4.0)
        self.assertLess(play_turns(ON, MACHINES, 88, TURNS).wait_s, 3.1)

    def test_machines_do_not_oscillate(self) -> None:
        """Apart from random variation, each turn moves a machine at most once."""
        moves = play_turns(ON, MACHINES, 88, TURNS).move_count
        self.assertLess(moves, MACHINES * TURNS * 0.9)
