"""Detection of hosts that leave orders unanswered and of halls that are cut off."""

from testtools import TestCase

from robinthread._internal.fleet.pool_report import HostStatus, PoolReport
from robinthread._internal.fleet.silent_halls import find_silent_halls
from robinthread._internal.jobs.host import HostContact
from robinthread._internal.jobs.host_errors import HostRefusedError, HostSilentError
from robinthread._internal.jobs.placement import get_usable_hosts
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.unresponsive_hosts import UNRESPONSIVE_AFTER_S, list_unresponsive
from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.settings.policy_settings import PlacementPolicy

HOST_CAPACITY = Resources(4000, 4000, 0)
SENT_S = 10.0
LATER_S = SENT_S + UNRESPONSIVE_AFTER_S + 0.01
HOSTS = ("a1", "a2", "a3", "b1", "b2")


def make_pool(policy: PlacementPolicy | None = None) -> PoolJobs:
    """Make a pool of five hosts that have just reported; the first letter names the hall."""
    pool = PoolJobs(policy or PlacementPolicy())
    for name in HOSTS:
        record = UpstreamHost(name, f"m{name}", "", "", name[0], "r", HOST_CAPACITY, frozenset())
        host = pool.add_host(record)
        host.contact = HostContact.ANSWERING
        host.reported_at_s = SENT_S - 0.01
    return pool


class UnresponsiveHostsTest(TestCase):
    def test_host_with_an_unanswered_order_is_unresponsive_until_it_responds(self) -> None:
        pool = make_pool()
        host = pool.hosts["a1"]
        host.record_order_sent(SENT_S)
        self.assertEqual(frozenset(), list_unresponsive(pool, SENT_S + 0.1))
        self.assertEqual({"a1"}, list_unresponsive(pool, LATER_S))
        self.assertNotIn(host, get_usable_hosts(pool, LATER_S))
        host.record_response()
        self.assertEqual(frozenset(), list_unresponsive(pool, LATER_S))

    def test_later_orders_do_not_reset_the_time_of_the_first(self) -> None:
        pool = make_pool()
        pool.hosts["a1"].record_order_sent(SENT_S)
        pool.hosts["a1"].record_order_sent(LATER_S)
        self.assertEqual({"a1"}, list_unresponsive(pool, LATER_S))

    def test_two_unresponsive_hosts_make_their_hall_unresponsive(self) -> None:
        pool = make_pool()
        pool.hosts["a1"].record_order_sent(SENT_S)
        pool.hosts["a2"].record_order_sent(SENT_S)
        self.assertEqual({"a1", "a2", "a3"}, list_unresponsive(pool, LATER_S))

    def test_hosts_that_refuse_connections_do_not_affect_their_hall(self) -> None:
        pool = make_pool()
        for name in ("a1", "a2", "a3"):
            pool.hosts[name].record_order_sent(SENT_S)
        for name in ("a1", "a2"):
            pool.hosts[name].record_failure(HostRefusedError("refused"), SENT_S)
        self.assertEqual({"a1", "a2", "a3"}, list_unresponsive(pool, LATER_S))
        pool.hosts["a3"].record_response()
        self.assertEqual({"a1", "a2"}, list_unresponsive(pool, LATER_S))

    def test_hosts_that_time_out_after_a_refusal_count_towards_their_hall(self) -> None:
        pool = make_pool()
        for name in ("a1", "a2"):
            pool.hosts[name].record_order_sent(SENT_S)
            pool.hosts[name].record_failure(HostRefusedError("refused"), SENT_S)
            pool.hosts[name].record_failure(HostSilentError("silent"), SENT_S)
        self.assertEqual({"a1", "a2", "a3"}, list_unresponsive(pool, LATER_S))

    def test_hall_with_a_later_report_is_not_unresponsive(self) -> None:
        pool = make_pool()
        pool.hosts["a1"].record_order_sent(SENT_S)
        pool.hosts["a2"].record_order_sent(SENT_S)
        pool.hosts["a3"].reported_at_s = SENT_S + 0.05
        self.assertEqual({"a1", "a2"}, list_unresponsive(pool, LATER_S))

    def test_no_host_is_unresponsive_if_the_policy_is_off(self) -> None:
        pool = make_pool(PlacementPolicy(doubts_silent_hosts=False))
        pool.hosts["a1"].record_order_sent(SENT_S)
        self.assertEqual(frozenset(), list_unresponsive(pool, LATER_S))


class SilentHallTest(TestCase):
    def find(self, usable: str) -> frozenset[str]:
        hosts = tuple(
            HostStatus(name, f"host-{name}", name in usable.split(), False, 0, 0) for name in HOSTS
        )
        machines = {
            name: Machine(
                name, "p", MachineState.UP, name[0], "r", "k", HOST_CAPACITY, f"host-{name}"
            )
            for name in HOSTS
        }
        return find_silent_halls([PoolReport(True, hosts=hosts)], machines)

    def test_hall_is_silent_if_most_of_its_hosts_are(self) -> None:
        self.assertEqual({"a"}, self.find("a1 b1 b2"))
        self.assertEqual(frozenset(), self.find("a1 a2 b1 b2"))

    def test_one_silent_host_does_not_make_its_hall_silent(self) -> None:
        self.assertEqual(frozenset(), self.find("a1 a2 a3 b1"))
