"""Validation of the node verb's flags and policy file at start."""

import contextlib
import io
import os
import tempfile
from pathlib import Path
from unittest.mock import patch

from testtools import TestCase

from robinthread._internal.cli.main import run_command_line
from robinthread._internal.platform.settings import SETTINGS_VARIABLE

INVALID_FLAGS = {
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

    def test_invalid_flags_are_rejected_with_a_result_code(self) -> None:
        for flag, expected in INVALID_FLAGS.items():
            code, text = self.run_node(flag)
            self.assertNotEqual(0, code)
            self.assertIn("BAD_ARGUMENT", text)
            self.assertIn(expected, text)

    def test_repeated_flag_is_rejected(self) -> None:
        _code, text = self.run_node("--metrics_port=1", "--metrics_port=2")
        self.assertIn("once each, not --metrics_port=2", text)

    def test_invalid_policy_is_rejected_with_the_line_of_the_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "policy.toml"
            path.write_text("[demand]\nlate_share = 2\n[fleet]\nmoves_directly = 3\n")
            code, text = self.run_node(f"--policy={path}")
            self.assertNotEqual(0, code)
            self.assertIn("BAD_SETTINGS", text)
            self.assertIn("line 4: fleet.moves_directly: is 3, expected true or false", text)

    def test_missing_policy_is_reported(self) -> None:
        code, text = self.run_node("--policy=/nowhere/policy.toml")
        self.assertNotEqual(0, code)
        self.assertIn("/nowhere/policy.toml", text)
