"""Validation of the flags of the node verb and of its policy file at start."""

import contextlib
import io
import os
import tempfile
from pathlib import Path
from unittest.mock import patch

from testtools import TestCase

from robinthread._internal.cli.main import run_command_line
from robinthread._internal.platform.settings import SETTINGS_VARIABLE

EXPECTED_TEXT_OF_FLAG = {
    "--metrics_port=0": "a whole number from 1 to 65535",
    "--metrics_port=here": "a whole number from 1 to 65535",
    "--policy=": "once each, not --policy=",
    "--colour=red": "once each, not --colour=red",
}


class NodeFlagsTest(TestCase):
    def run_node(self, *flags: str) -> tuple[int, str]:
        output = io.StringIO()
        with contextlib.redirect_stderr(output), patch.dict(os.environ, {SETTINGS_VARIABLE: "x"}):
            code = run_command_line(["node", *flags])
        return code, output.getvalue()

    def test_wrong_flags_are_refused_as_bad_arguments(self) -> None:
        for flag, expected in EXPECTED_TEXT_OF_FLAG.items():
            code, text = self.run_node(flag)
            self.assertNotEqual(0, code)
            self.assertIn("BAD_ARGUMENT", text)
            self.assertIn(expected, text)

    def test_repeated_flag_is_refused(self) -> None:
        _code, text = self.run_node("--metrics_port=1", "--metrics_port=2")
        self.assertIn("once each, not --metrics_port=2", text)

    def test_policy_with_faults_is_refused_with_each_of_them(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "policy.toml"
            path.write_text("[demand]\nlate_share = 2\n[fleet]\nmoves_directly = 3\n")
            code, text = self.run_node(f"--policy={path}")
            self.assertNotEqual(0, code)
            self.assertIn("BAD_SETTINGS", text)
            self.assertIn("line 4: fleet.moves_directly: is 3, expected true or false", text)

    def test_missing_policy_file_is_reported(self) -> None:
        code, text = self.run_node("--policy=/nowhere/policy.toml")
        self.assertNotEqual(0, code)
        self.assertIn("/nowhere/policy.toml", text)
