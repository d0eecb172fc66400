"""What an owner tells of its pool."""

import json
from typing import Any

from testtools import TestCase

from robinthread._internal.jobs.host import Host
from robinthread._internal.jobs.host_lease import HostLease
from robinthread._internal.jobs.run import Run
from robinthread._internal.models.resources import NO_RESOURCES
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.models.upstream_host import UpstreamHost
from robinthread._internal.node.pool_reporting import tell_ended
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

    def tell(self, host: Host) -> None:
        tell_ended(self.events, "press", host, "its machine is another host now", "h9")

    def test_host_with_runs_has_a_line_of_its_own(self) -> None:
        for name in ("h1", "h2"):
            host = make_host(name)
            host.add_run(Run(TaskKey("0" * 16, 0, 0, 0), 1, name, ""), NO_RESOURCES)
            self.tell(host)
        self.assertEqual(["h1", "h2"], [line["host"] for line in self.lines])
        self.assertEqual({("h9", 1)}, {(x["successor"], x["run_count"]) for x in self.lines})

    def test_hosts_without_runs_are_told_together(self) -> None:
        for number in range(30):
            self.tell(make_host(f"h{number}"))
        self.events.tell_gathered(is_last=True)
        self.assertEqual([1, 29], [line["count"] for line in self.lines])
        self.assertEqual(["h0"], self.lines[0]["hosts"])
