"""Status reports and log lines of a pool's owner."""

import json
from typing import Any

from testtools import TestCase

from robinthread._internal.jobs.demand import DemandForecaster
from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.host_errors import (
    HostNoAnswerError,
    HostRefusedError,
    HostSilentError,
)
from robinthread._internal.jobs.host_lease import HostLease
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.jobs.run import Run
from robinthread._internal.models.resources import NO_RESOURCES
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.node.pool_reporting import log_host_ended, make_pool_report
from robinthread._internal.settings.policy_settings import DemandPolicy
from robinthread._internal.telemetry.event_log import EventLog


def make_host(name: str) -> Host:
    """Make a host without runs."""
    record = UpstreamHost(name, "", "", "", "", "", NO_RESOURCES, frozenset())
    return Host(record, HostLease())


class EndedHostsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[dict[str, Any]] = []
        self.events = EventLog("n", lambda line: self.lines.append(json.loads(line)))

    def log_ended(self, host: Host) -> None:
        log_host_ended(self.events, "press", host, "its machine is another host now", 5.0, "h9")

    def test_host_with_runs_is_logged_by_itself(self) -> None:
        for name in ("h1", "h2"):
            host = make_host(name)
            host.add_run(Run(TaskKey("0" * 16, 0, 0, 0), 1, name, ""), NO_RESOURCES)
            self.log_ended(host)
        self.assertEqual(["h1", "h2"], [line["host"] for line in self.lines])
        self.assertEqual({("h9", 1)}, {(x["successor"], x["run_count"]) for x in self.lines})

    def test_line_names_the_runs_started_last_before_the_connection_broke(self) -> None:
        """When a host ended with ten runs, the log did not show which had just started."""
        host = make_host("h1")
        for number, sent_at_s in enumerate((3.0, 4.99, None)):
            run = Run(TaskKey("0" * 16, 0, 0, number), 1, "h1", "")
            run.sent_at_s = sent_at_s
            host.add_run(run, NO_RESOURCES)
        host.record_failure(HostNoAnswerError("reset by peer"), 5.0)
        host.record_failure(HostRefusedError("refused"), 5.2)
        self.log_ended(host)
        names = [f"{'0' * 16}/0.0.1/1 10.0 ms", f"{'0' * 16}/0.0.0/1 2000.0 ms"]
        self.assertEqual((names, 0.0), (self.lines[0]["newest"], self.lines[0]["broke_ago_s"]))

    def test_silence_is_not_a_broken_connection_and_a_response_ends_one(self) -> None:
        host = make_host("h1")
        host.record_failure(HostSilentError("timed out"), 5.0)
        self.assertIsNone(host.connection_broken_at_s)
        host.record_failure(HostNoAnswerError("reset by peer"), 6.0)
        self.assertEqual(6.0, host.connection_broken_at_s)
        host.record_response()
        self.assertIsNone(host.connection_broken_at_s)

    def test_hosts_without_runs_are_gathered_into_one_line(self) -> None:
        for number in range(30):
            self.log_ended(make_host(f"h{number}"))
        self.events.flush_gathered(is_last=True)
        self.assertEqual([1, 29], [line["count"] for line in self.lines])
        self.assertEqual(["h0"], self.lines[0]["hosts"])


class AwaitedTest(TestCase):
    def test_host_is_awaited_for_a_bounded_time_while_it_is_listed_and_not_contacted(self) -> None:
        host = make_host("h1")
        self.assertFalse(host.is_awaited(0.0))
        host.awaited_until_s = 3.0
        self.assertTrue(host.is_awaited(2.9))
        self.assertFalse(host.is_awaited(3.0))
        for contact in (HostContact.ANSWERING, HostContact.SILENT):
            host.contact = contact
            self.assertFalse(host.is_awaited(0.0))
        host.contact, host.is_listed = HostContact.NOT_CONTACTED, False
        self.assertFalse(host.is_awaited(0.0))

    def test_report_shows_awaited_hosts(self) -> None:
        pool = PoolJobs()
        record = UpstreamHost("h1", "m1", "", "", "", "", NO_RESOURCES, frozenset())
        pool.add_host(record).awaited_until_s = 3.0
        demand = DemandForecaster(1.8, DemandPolicy()).forecast(pool, 0.0, 0)
        for now_s, expected in ((0.0, True), (3.0, False)):
            (standing,) = make_pool_report(pool, demand, now_s).hosts
            self.assertEqual((False, expected), (standing.is_usable, standing.is_awaited))
