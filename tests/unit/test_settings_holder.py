"""Reloading of the settings when their file changes."""

import dataclasses
import json
import tempfile
from pathlib import Path
from unittest.mock import patch

from testtools import TestCase

from robinthread._internal.node.node_settings import NodeSettings
from robinthread._internal.node.settings_holder import SettingsHolder
from robinthread._internal.platform.settings import read_node_settings
from robinthread._internal.results import FaultError, ResultCode, make_fault
from robinthread._internal.standins.node_settings_standin import BOUNDS, make_settings
from robinthread._internal.telemetry.event_log import EventLog


class SettingsHolderTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.lines: list[bytes] = []
        self.now = make_settings("n")
        self.is_valid = True
        self.holder = SettingsHolder(self.now, self.read, EventLog("n", self.lines.append))

    def read(self) -> NodeSettings:
        if not self.is_valid:
            raise FaultError(make_fault(ResultCode.BAD_SETTINGS, "drain_ms"))
        return self.now

    def get_events(self) -> list[str]:
        return [json.loads(line)["event"] for line in self.lines]

    def test_change_without_a_signal_is_applied_and_logged(self) -> None:
        self.now = dataclasses.replace(
            self.now, bounds=dataclasses.replace(BOUNDS, drain_ms=500), ip="elsewhere"
        )
        self.holder.reload("file")
        self.assertEqual(500, self.holder.settings.bounds.drain_ms)
        logged = json.loads(self.lines[0])
        self.assertEqual(["bounds", "ip"], logged["changed"])
        self.assertEqual(["ip"], logged["in_force_after_restart"])

    def test_invalid_file_changes_nothing_and_is_logged_once(self) -> None:
        self.is_valid = False
        self.holder.reload("file")
        self.holder.reload("file")
        self.assertEqual(["settings_rejected"], self.get_events())
        self.assertEqual(BOUNDS, self.holder.settings.bounds)

    def test_signal_is_logged_even_if_nothing_changed(self) -> None:
        self.holder.reload("file")
        self.holder.reload("signal")
        self.assertEqual(["settings_reloaded"], self.get_events())

    def test_error_that_reading_does_not_declare_changes_nothing(self) -> None:
        """Guards against a file that ends the reading of settings for good."""
        with patch.object(self.holder, "_read", side_effect=RecursionError("too deep")):
            self.holder.reload("file")
        self.assertEqual(["settings_rejected"], self.get_events())
        self.assertEqual(BOUNDS, self.holder.settings.bounds)

    def test_odd_files_are_rejected_with_a_result_code(self) -> None:
        """Guards against numbers, depths and encodings that raise something else."""
        odd = (
            b"node = '\xff'",
            b"a = " + b"[" * 100_000,
            b"[platform]\nparts = inf",
            b"[limits]\nlink_mbps = 1" + b"0" * 400,
            b"[bounds]\ndrain_ms = inf",
            b"[bounds]\ndrain_ms = 1" + b"0" * 5_000,
        )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            for content in odd:
                path.write_bytes(content)
                error = self.assertRaises(FaultError, read_node_settings, str(path))
                self.assertEqual(ResultCode.BAD_SETTINGS, error.fault.code)
