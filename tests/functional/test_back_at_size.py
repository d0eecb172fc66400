"""Recovery of a large platform after a power loss of all nodes, with further troubles.

Each simulation takes about 2.3 s of processor time; ``python -m bench back_days`` runs larger
ones and other troubles.
"""

from testtools import TestCase

from tests.lib.back_at_size import play_back
from tests.lib.back_figures import IN_TIME_SHARE_MIN, RECOVERY_S
from tests.lib.back_site import Size, Trouble
from tests.lib.back_troubles import (
    ENDS_S,
    keep_third_away,
    lapse_hosts_while_away,
    make_lapses_at_change,
    make_lost_answers,
    make_refusals,
    make_replaced_owners,
    make_silence,
    make_slow_store,
)
from tests.lib.virtual import run_virtual

# Small enough that each simulation takes a few seconds.
SIZE = Size(jobs_per_s=4.0, heartbeat_s=5.0, settle_s=3.0)
# Start of troubles that begin with the power loss, relative to the restart of the nodes.
LOST_S = -SIZE.away_s
# Times at which the open connections go silent: while pools are opened, and after that.
SILENT_S = (0.7, 2.5)
# Time after which an owner that is killed again restarts.
RESTART_S = 1.0


class BackAtSizeTest(TestCase):
    def _check(self, *troubles: Trouble) -> None:
        """Simulate a power loss with ``troubles``; check that full service returns in time."""
        found = run_virtual(play_back(troubles, SIZE))
        self.assertEqual(((), (), ()), (found.lost, found.breaks, found.undone))
        self.assertLessEqual(found.full_service_s, RECOVERY_S)
        self.assertGreaterEqual(found.in_time_share, IN_TIME_SHARE_MIN)
        self.assertEqual(SIZE.pools, len(found.first_start_s))
        self.assertLess(max(found.first_start_s.values()), RECOVERY_S)

    def test_power_loss_alone(self) -> None:
        self._check()

    def test_store_is_slow_and_a_third_of_the_nodes_does_not_restart(self) -> None:
        self._check(make_slow_store(LOST_S, ENDS_S), keep_third_away)

    def test_store_refuses_a_third_of_the_nodes_and_hosts_lapse(self) -> None:
        self._check(make_refusals(LOST_S, ENDS_S), lapse_hosts_while_away)

    def test_store_loses_responses_and_hosts_lapse_while_pools_change_owners(self) -> None:
        self._check(make_lost_answers(LOST_S, ENDS_S), make_lapses_at_change(RESTART_S))

    def test_connections_go_silent_and_owners_are_replaced_while_tasks_wait(self) -> None:
        self._check(make_silence(*SILENT_S), make_replaced_owners(RESTART_S))
