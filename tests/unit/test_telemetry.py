"""Log lines and metrics: lines are limited in rate, counted, and written without blocking."""

import json
import os
import subprocess
import sys
import time

import msgspec
from testtools import TestCase

from robinthread._internal.telemetry.event_log import EventLog, LineWriter
from robinthread._internal.telemetry.gathered_lines import GatheredLines
from robinthread._internal.telemetry.latencies import LatencyHistogram
from robinthread._internal.telemetry.line_rate_limiter import ROUTINE_BURST, LineRateLimiter

METRICS_CODE = """
from opentelemetry.metrics import get_meter
from robinthread._internal.telemetry.node_metrics import NodeMetrics
metrics = NodeMetrics(get_meter("robinthread"))
metrics.count_event("job_ended", "succeeded")
metrics.record_store_call("append", "ok", 0.004)
from robinthread._internal.telemetry.exporter import write_metrics
from robinthread._internal.telemetry.node_exporter import start_metrics_export
start_metrics_export(metrics)
metrics.count_event("job_ended", "succeeded")
metrics.record_store_call("append", "ok", 0.3)
metrics.register_gauge("lines_lost", "by", lambda: {"slow reader": 3})
print(write_metrics().decode())
"""


class LineRateLimiterTest(TestCase):
    def test_burst_then_rate(self) -> None:
        limiter = LineRateLimiter()
        admitted = sum(limiter.admit("run_started", 0.0) for _ in range(1000))
        self.assertEqual(ROUTINE_BURST, admitted)
        self.assertEqual({"run_started": 800}, limiter.take_suppressed())
        self.assertEqual(100, sum(limiter.admit("run_started", 1.0) for _ in range(1000)))

    def test_refusals_have_their_own_limit(self) -> None:
        limiter = LineRateLimiter()
        for _ in range(5000):
            limiter.admit("run_started", 0.0)
        self.assertTrue(all(limiter.admit("request_refused", 0.0) for _ in range(2000)))


class EventLogTest(TestCase):
    def test_suppressed_lines_are_counted(self) -> None:
        lines: list[bytes] = []
        log = EventLog("n", lines.append)
        for number in range(1000):
            log.write("run_started", run=number)
        self.assertTrue(len(lines) <= ROUTINE_BURST + 2)
        log._suppressed_logged_at_s = time.monotonic() - 2
        log.write("stopping")
        suppressed = json.loads(lines[-1])
        self.assertEqual("lines_left_out", suppressed["event"])
        self.assertEqual(1000, suppressed["counts"]["run_started"] + len(lines) - 2)

    def test_line_with_odd_or_long_fields_is_written_all_the_same(self) -> None:
        """Guards against a line that ends the task that writes it, or fills the log."""
        deep: list[object] = []
        for _ in range(10_000):
            deep = [deep]
        for odd in ("\ud800", 10**5_000, deep, "x" * 300_000, {"a": "\udfff"}):
            lines: list[bytes] = []
            EventLog("n", lines.append).write("odd", field=odd, sound=1)
            line = json.loads(lines[0])
            self.assertEqual(("odd", "1"), (line["event"], str(line["sound"])))
            self.assertLess(len(lines[0]), 1000)

    def test_stalled_reader_does_not_block_and_lost_lines_are_counted(self) -> None:
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        writer = LineWriter(writing)
        log = EventLog("n", writer.write)
        began_at_s = time.process_time()
        for number in range(20_000):
            log.write(f"kind{number % 100}", text="x" * 200)
        self.assertTrue(time.process_time() - began_at_s < 5)
        self.assertTrue(writer.lost_count > 0)
        os.set_blocking(reading, False)
        while True:
            try:
                os.read(reading, 1 << 20)
            except BlockingIOError:
                break
        log.write("after")
        text = os.read(reading, 1 << 20)
        lines = [msgspec.json.decode(line) for line in text.splitlines()[1:-1]]
        self.assertTrue(lines)


class GatheredLinesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.gathered = GatheredLines()

    def add(self, number: int, pool: str = "press") -> None:
        self.gathered.add("host_gone", {}, pool, {"hosts": f"h{number}"}, {"last": number})

    def test_first_event_is_due_at_once_and_others_together_a_second_later(self) -> None:
        self.add(0)
        first = {"last": 0, "count": 1, "counts": {"press": 1}, "hosts": ["h0"]}
        self.assertEqual([("host_gone", first)], self.gathered.take_due(10.0))
        for number in range(1, 40):
            self.add(number, "press" if number % 2 else "fold")
            self.assertEqual([], self.gathered.take_due(10.0 + number / 50))
        ((_event, fields),) = self.gathered.take_due(11.0)
        self.assertEqual({"press": 20, "fold": 19}, fields["counts"])
        self.assertEqual((39, 39), (fields["count"], fields["last"]))
        self.assertEqual([f"h{number}" for number in range(1, 11)], fields["hosts"])
        self.assertEqual([], self.gathered.take_due(20.0))

    def test_each_group_has_its_own_lines(self) -> None:
        for pool in ("press", "fold", "press"):
            self.gathered.add("pool_sized", {"pool": pool}, "", {}, {})
        lines = self.gathered.take_due(0.0)
        counts = [(fields["pool"], fields["count"]) for _event, fields in lines]
        self.assertEqual([("press", 2), ("fold", 1)], counts)

    def test_last_flush_writes_the_remaining_events(self) -> None:
        lines: list[bytes] = []
        log = EventLog("n", lines.append)
        for number in range(5):
            log.gather("machine_ordered", {"outcome": "done"}, listed={"machines": f"m{number}"})
        self.assertEqual(1, len(lines))
        log.flush_gathered(is_last=True)
        self.assertEqual(["m1", "m2", "m3", "m4"], json.loads(lines[1])["machines"])


class MetricsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        found = subprocess.run(
            [sys.executable, "-c", METRICS_CODE], capture_output=True, check=True
        )
        self.lines = [line for line in found.stdout.decode().splitlines() if line]

    def test_instruments_created_before_the_exporter_are_exported(self) -> None:
        text = "\n".join(self.lines)
        self.assertIn('robinthread_events_total{event="job_ended",', text)
        self.assertIn("robinthread_store_call_seconds_bucket{", text)
        self.assertIn('robinthread_lines_lost{by="slow reader"', text)

    def test_values_recorded_before_the_exporter_are_exported(self) -> None:
        text = "\n".join(self.lines)
        self.assertIn('_events_total{event="job_ended",outcome="succeeded"} 2.0', text)
        self.assertIn('_call_seconds_bucket{kind="append",le="0.02",outcome="ok"} 1.0', text)
        self.assertIn('_call_seconds_bucket{kind="append",le="0.1",outcome="ok"} 1.0', text)
        self.assertIn('_call_seconds_bucket{kind="append",le="0.5",outcome="ok"} 2.0', text)
        self.assertIn('_call_seconds_bucket{kind="append",le="+Inf",outcome="ok"} 2.0', text)
        self.assertIn('_call_seconds_count{kind="append",outcome="ok"} 2.0', text)
        self.assertIn('_call_seconds_sum{kind="append",outcome="ok"} 0.304', text)

    def test_only_own_metrics_are_exported_and_histograms_come_last(self) -> None:
        names = [line.split("{")[0] for line in self.lines if not line.startswith("#")]
        self.assertTrue(all(name.startswith("robinthread_") for name in names))
        self.assertEqual(["robinthread_lines_lost", "robinthread_events_total"], names[:2])
        self.assertEqual(
            {"robinthread_store_call_seconds"}, {x.rpartition("_")[0] for x in names[2:]}
        )

    def test_latencies_are_counted_by_bucket(self) -> None:
        histogram = LatencyHistogram("seconds", "pool")
        for took_s in (0.0, 0.02, 0.021, 0.5, 2.0, 2.1, 60.0):
            histogram.record(took_s, "press")
        entry = histogram.by_labels["press",]
        self.assertEqual([2, 1, 1, 1, 2], entry.counts)
        self.assertAlmostEqual(64.641, entry.sum_s)
