"""Real processes on loopback: a platform, four workers, two daemons and operator commands."""

import json
import signal
import threading
import time
import urllib.error
import urllib.request
from email.message import Message
from typing import ClassVar

from testtools import TestCase

from robinthread._internal.cli.exit_code import get_exit_code
from robinthread._internal.results import ResultCode
from robinthread._internal.standins.job import Job, encode_job
from tests.lib.processes import Site

INVALID_CALLS: tuple[tuple[tuple[str, ...], ResultCode, str], ...] = (
    (("pool", "create"), ResultCode.BAD_ARGUMENT, "name"),
    (("pool", "create", "x", "--bogus=1"), ResultCode.BAD_ARGUMENT, "bogus"),
    (("pool", "create", "a b"), ResultCode.BAD_ARGUMENT, "name"),
    (("pool", "create", "x", "--min_serving_hosts=many"), ResultCode.BAD_ARGUMENT, "many"),
    (("pool", "create", "x", "--per_hall_hosts=kandy"), ResultCode.BAD_ARGUMENT, "kandy"),
    (("pool", "assign", "nowhere", "w0"), ResultCode.NOT_FOUND, "w0"),
    (("pool", "remove", "nowhere", "7"), ResultCode.NOT_FOUND, "does not exist"),
    (("wave", "run", "w", "reason"), ResultCode.BAD_ARGUMENT, "name hosts"),
    (("wave", "run", "w", "reason", "--hosts=ghost"), ResultCode.NOT_FOUND, "ghost"),
    (("quota", "set", "team", "0"), ResultCode.BAD_ARGUMENT, "max_slots"),
    (("status", "--address=127.0.0.1:1"), ResultCode.UNREACHABLE, "127.0.0.1:1"),
    (("status", "--token_file=/nonexistent"), ResultCode.BAD_ARGUMENT, "nonexistent"),
    (("frobnicate",), ResultCode.BAD_ARGUMENT, "frobnicate"),
)


class ProcessesTest(TestCase):
    site: ClassVar[Site]

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.site = Site()

    @classmethod
    def tearDownClass(cls) -> None:
        cls.site.close()
        super().tearDownClass()

    def test_1_pool_created_on_one_daemon_serves_on_the_other(self) -> None:
        self._wait_for_hosts(4)
        self._run("pool", "create", "tiles", "--min_serving_hosts=3", "--wait_s=30")
        self._run("pool", "assign", "tiles", "w0,w1,w2,w3", "--wait_s=30")
        codes = [self._request(daemon, f"n{daemon}", "no")["Result-Name"] for daemon in (1, 0)]
        self.assertEqual(["RAN", "RAN"], codes)

    def test_2_wave_completes_and_is_in_the_timeline(self) -> None:
        plan = json.loads(self._run("wave", "plan", "--pool=tiles", "--reboot_s=2", "--json"))
        self.assertEqual(4, len(plan["steps"]))
        self._run("wave", "run", "kernel", "update", "--pool=tiles", "--wait", daemon=1)
        status = json.loads(self._run("status", "--json"))
        self.assertEqual(("done", 4), (status["waves"][0]["state"], status["waves"][0]["done"]))
        timeline = self._run("timeline", "--subject=w0")
        order = [word for word in ("permitted", "drained", "returned") if word in timeline]
        self.assertEqual(["permitted", "drained", "returned"], order)
        self.assertEqual(2, len({line.split()[2] for line in timeline.splitlines()}))

    def test_2b_progress_shows_serving_hosts_against_the_floor(self) -> None:
        lines = self._run("wave", "progress", "tiles").splitlines()
        served = [int(line.split()[2]) for line in lines]
        self.assertEqual((3, 4), (min(served[4:]), served[-1]))
        self.assertIn("###|", lines[-1])

    def test_3_invalid_calls_give_a_result_code_and_no_traceback(self) -> None:
        for arguments, code, text in INVALID_CALLS:
            done = self.site.run(*arguments)
            self.assertEqual(get_exit_code(code), done.returncode, f"{arguments}: {done.stderr}")
            self.assertIn(f"[{code.value} {code.name}]", done.stderr)
            self.assertIn(text, done.stderr)
            self.assertNotIn("Traceback", done.stderr)

    def test_4_wrong_token_is_refused_and_counted(self) -> None:
        wrong = self.site.token_file.with_name("wrong")
        wrong.write_text("guess")
        done = self.site.run("status", f"--token_file={wrong}")
        self.assertEqual(get_exit_code(ResultCode.UNAUTHORIZED), done.returncode)
        metrics = self._get(f"http://{self.site.get_address('metrics')}/metrics")
        self.assertIn("operator_calls_unauthorized", metrics)
        self.assertIn("robinthread_buffer_cost_slot_s", metrics)
        self.assertNotIn("guess", "".join(self.site.daemons[0].lines))

    def test_4b_daemon_with_another_schema_does_not_start(self) -> None:
        folder = self.site.token_file.parent
        schema = self._run("schema").replace("int32 max_slots = 3;", "int32 max_slots = 8;")
        (folder / "operators.proto").write_text(schema)
        settings = (folder / "entry-0.toml").read_text()
        (folder / "other.toml").write_text(
            settings.replace(
                "[platform]", f'operator_schema_file = "{folder}/operators.proto"\n[platform]'
            )
        )
        done = self.site.run("daemon", f"--settings={folder}/other.toml")
        self.assertEqual(get_exit_code(ResultCode.SCHEMA_MISMATCH), done.returncode)
        self.assertIn("max_slots", done.stderr)

    def test_5_malformed_requests_are_refused_as_bad_requests(self) -> None:
        headers = self._request(0, "bad", "perhaps")
        self.assertEqual("BAD_REQUEST", headers["Result-Name"])

    def test_6_daemon_has_no_child_process(self) -> None:
        self.assertEqual("", self.site.daemons[0].list_children())

    def test_7_planned_stop_under_load_answers_all_accepted_requests(self) -> None:
        answers: list[str] = []

        def call(number: int) -> None:
            try:
                answers.append(self._request(1, f"s{number}", "no", run_s=0.5)["Result-Name"])
            except urllib.error.URLError:
                answers.append("CUT")

        threads = [threading.Thread(target=call, args=(number,)) for number in range(24)]
        for thread in threads:
            thread.start()
        self._wait_until_running(1)
        self.site.daemons[1].signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.assertEqual({"RAN"}, set(answers))
        self.assertEqual(0, self.site.daemons[1].wait())

    def _run(self, *arguments: str, daemon: int = 0) -> str:
        done = self.site.run(*arguments, daemon=daemon)
        self.assertEqual(0, done.returncode, done.stderr)
        return done.stdout

    def _request(self, daemon: int, name: str, may_repeat: str, run_s: float = 0.0) -> Message:
        request = urllib.request.Request(
            f"http://{self.site.get_address('callers', daemon)}/v1/pools/tiles/requests",
            data=encode_job(Job(run_s=run_s, payload=name)),
            headers={
                "Caller-Id": "test",
                "Request-Id": name,
                "May-Repeat": may_repeat,
                "Deadline-At-S": f"{time.time() + 20:.3f}",
            },
        )
        try:
            with urllib.request.urlopen(request, timeout=30) as response:
                return response.headers
        except urllib.error.HTTPError as error:
            return error.headers

    def _get(self, url: str) -> str:
        with urllib.request.urlopen(url, timeout=10) as response:
            return str(response.read().decode())

    def _wait_for_hosts(self, count: int) -> None:
        for _ in range(100):
            if len(json.loads(self._run("status", "--json"))["hosts"]) == count:
                return
        raise AssertionError(f"the status did not list {count} hosts after 100 calls")

    def _wait_until_running(self, daemon: int) -> None:
        url = f"http://{self.site.get_address('metrics', daemon)}/metrics"
        for _ in range(1000):
            lines = self._get(url).splitlines()
            if any(
                line.startswith("robinthread_requests_running") and not line.endswith(" 0.0")
                for line in lines
            ):
                return
        raise AssertionError(
            f"daemon {daemon} reported no running request in 1000 reads of its metrics"
        )
