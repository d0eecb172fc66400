"""History of a job, and filtered lines, from the log lines of nodes."""

import contextlib
import io
import json
import tempfile
from pathlib import Path

from testtools import TestCase

from robinthread._internal.cli.main import run_command_line

JOB = "8461e28700000000"
LINES = (
    {"at": 10.010, "node": "b", "event": "job_taken", "job": JOB, "pool": "press"},
    {"at": 10.012, "node": "a", "event": "job_accepted", "job": JOB, "pool": "press"},
    {"at": 10.500, "node": "b", "event": "host_lost", "host": "h1", "pool": "press"},
    {"at": 10.600, "node": "b", "event": "host_lost", "host": "h2", "pool": "press"},
    {"at": 10.700, "node": "c", "event": "store_lost", "topic": "x"},
    {"at": 10.050, "node": "b", "event": "run_started", "job": JOB, "host": "h1"},
    {"at": 14.000, "node": "b", "event": "run_ended", "job": JOB, "host": "h1"},
    {"at": 10.900, "node": "b", "event": "run_started", "job": "f" * 16, "host": "h1"},
    {"at": 15.0, "node": "b", "event": "host_gone", "counts": {"fold": 2}, "hosts": ["h8", "h9"]},
    {"at": 15.1, "node": "b", "event": "machine_ordered", "to_pool": "fold", "machines": ["m1"]},
    {"at": 15.2, "node": "b", "event": "request_refused", "code": 301, "jobs": ["e" * 16]},
)


class ExplainTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name) / "logs"
        text = [f"  12.1 node {json.dumps(line)}" for line in LINES]
        self.file.write_text("\n".join(["not a line", "{broken", *text]))

    def explain(self, *arguments: str) -> tuple[int, list[str]]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            code = run_command_line(["explain", *arguments])
        return code, output.getvalue().splitlines()

    def test_job_lines_and_events_of_its_hosts_are_in_causal_order(self) -> None:
        code, lines = self.explain(JOB, str(self.file))
        self.assertEqual(0, code)
        events = [line.split()[4] for line in lines]
        self.assertEqual(
            ["job_accepted", "job_taken", "run_started", "host_lost", "run_ended"], events
        )
        self.assertIn("host=h1", lines[3])

    def test_host_filter_selects_the_lines_of_one_host(self) -> None:
        _code, lines = self.explain("--host=h2", f"--file={self.file}")
        self.assertEqual(1, len(lines))

    def test_filters_match_values_in_collections(self) -> None:
        _code, lines = self.explain("--host=h9", f"--file={self.file}")
        self.assertEqual(["host_gone"], [line.split()[4] for line in lines])
        _code, lines = self.explain("--pool=fold", f"--file={self.file}")
        self.assertEqual(["host_gone", "machine_ordered"], [line.split()[4] for line in lines])
        _code, lines = self.explain("e" * 16, f"--file={self.file}")
        self.assertEqual(["request_refused"], [line.split()[4] for line in lines])

    def test_trace_is_written_for_a_browser(self) -> None:
        target = self.file.with_name("trace")
        self.explain(JOB, str(self.file), f"--chrome={target}")
        entries = json.loads(target.read_text())["traceEvents"]
        self.assertIn(f"job_taken {JOB}", [entry["name"] for entry in entries])

    def test_unknown_id_and_missing_file_are_reported_with_result_codes(self) -> None:
        code, lines = self.explain("0" * 16, str(self.file))
        self.assertNotEqual(0, code)
        self.assertIn("[601 NOT_FOUND]", lines[0])
        code, lines = self.explain(JOB, str(self.file) + "-missing")
        self.assertNotEqual(0, code)
        self.assertIn("[500 BAD_ARGUMENT]", lines[0])
