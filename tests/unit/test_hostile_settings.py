"""Odd settings files: the former settings stay in force, and the file is told as rejected.

Guards against a reload that ends its task, after which no change of the file is ever applied.
"""

import json
import math
import tempfile
from pathlib import Path

from testtools import TestCase

from robinthread._internal.node.settings_holder import SettingsHolder
from robinthread._internal.platform.settings import read_node_settings
from robinthread._internal.results import FaultError
from robinthread._internal.telemetry.event_log import EventLog

SOUND = """
node = "n-1"
ip = "10.0.0.1"
zone = "hall-a"
advice = "10.0.0.3:1"
port_range = [7003, 7010]
[listen]
front = "10.0.0.1:80"
ready = "10.0.0.1:81"
[platform]
address = "10.0.0.2:1"
parts = 4
record_bytes = 262144
[cloud]
address = "10.0.0.2:2"
duty_per_s = 2
[limits]
cpu_share = 0.5
cpu_cores = 2
[zones.hall-a]
[bounds]
drain_ms = 2000
"""
VALUES = (
    "nan",
    "inf",
    "-inf",
    "-1",
    "1e400",
    "9" * 400,
    "0x" + "f" * 400,
    "true",
    '"text"',
    "[]",
    "{}",
    "[" * 5_000 + "]" * 5_000,
    "1979-05-27",
    '""',
    '"a\\nb"',
    "[70000, 70001]",
    "[true, true]",
    "[0, 5]",
    "[9, 5]",
)
LINES = tuple(line for line in SOUND.splitlines() if " = " in line)
FILES = (
    b"",
    b"\xff\xfe\x00",
    b"\x00" * 100,
    b"node = ",
    b"[" * 5_000,
    b"x = " + b"[" * 50_000,
    b"a = 1\na = 2",
    b"node = 5\n" * 3,
)


class HostileSettingsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "settings.toml"
        self.path.write_text(SOUND)
        self.lines: list[bytes] = []
        path = str(self.path)
        self.holder = SettingsHolder(
            read_node_settings(path),
            lambda: read_node_settings(path),
            EventLog("n", self.lines.append),
        )

    def find_fault(self, text: bytes) -> str:
        """Reload an odd file, then the sound one; return what is wrong, or ""."""
        before = self.holder.settings
        # A log of its own: lines are limited in rate.
        self.holder._events = EventLog("n", self.lines.append)
        self.lines.clear()
        self.path.write_bytes(text)
        try:
            self.holder.reload("signal")
        except Exception as error:  # whatever it is, it ends the task that reloads
            return repr(error)[:100]
        now = self.holder.settings
        numbers = (
            [getattr(now.bounds, name) for name in now.bounds.__dataclass_fields__]
            + [now.cpu_cores, now.link_mbps, now.machine_calls_per_s]
            + [now.store.partition_count, now.store.record_max_bytes]
        )
        if not all(math.isfinite(number) and 0 <= number < 2**53 for number in numbers):
            return "a number that can't be borne is in force"
        if not 0 < now.peer_ports[0] <= now.peer_ports[1] < 65536:
            return "a port that doesn't exist is in force"
        told = [json.loads(line)["event"] for line in self.lines]
        if now != before and told != ["settings_reloaded"]:
            return f"changed, told {told}"
        if any(len(line) > 5_000 for line in self.lines):
            return "a long line"
        self.path.write_text(SOUND)
        self.holder.reload("signal")
        return "" if self.holder.settings == before else f"not in force again: {now}"

    def test_any_value_may_be_odd(self) -> None:
        """Guards against one odd value that ends the reloading."""
        files = [
            SOUND.replace(line, f"{line.split(' = ')[0]} = {value}").encode()
            for line in LINES
            for value in VALUES
        ]
        wrong = {text[:0] + text: fault for text in files if (fault := self.find_fault(text))}
        self.assertEqual([], [(fault, text[-60:]) for text, fault in wrong.items()])

    def test_any_file_may_be_odd(self) -> None:
        """Guards against a file that is not even text."""
        faults = {text[:20]: fault for text in FILES if (fault := self.find_fault(text))}
        self.assertEqual({}, faults)

    def test_missing_file_or_a_directory_is_rejected(self) -> None:
        """Guards against another error than the one that callers handle."""
        self.path.unlink()
        self.assertRaises(FaultError, read_node_settings, str(self.path))
        self.path.mkdir()
        self.assertRaises(FaultError, read_node_settings, str(self.path))
        self.assertRaises(FaultError, read_node_settings, "a\x00b")

    def test_odd_file_is_told_once(self) -> None:
        """Guards against a line at each poll of the file."""
        self.path.write_bytes(b"\xff\xfe")
        for _ in range(3):
            self.holder.reload("file")
        told = [json.loads(line)["event"] for line in self.lines]
        self.assertEqual(["settings_rejected"], told)
