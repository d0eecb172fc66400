"""Settings files: valid ones, and invalid ones with the problem that each one reports."""

from pathlib import Path

from returns.result import Success
from testtools import TestCase

from robinthread._internal.results import ResultCode
from robinthread._internal.settings.parse import parse_settings

VALID = """
name = "entry-1"
hall = "kandy"
[platform]
log_url = "http://10.0.0.1:80"
"""
INVALID = {
    "colour = 1": "line 6: platform.colour: is unknown",
    "log_timeout_ms = 5": "line 6: platform.log_timeout_ms: has the wrong unit, expected log",
    "log_timeout_s = 'soon'": "line 6: platform.log_timeout_s: is 'soon', expected a number",
    "log_timeout_s = -1": "line 6: platform.log_timeout_s: is -1.0, expected more than 0",
    "log_retention_s = 60": "claims.claim_horizon_s: with clock_skew_s must be shorter",
    "[peers]\nheartbeat_s = 5": "peers.silent_after_s: must be longer than peers.heartbeat_s",
    "[listen]\ncaller_address = 'here:80'": "listen.caller_address: is 'here:80', expected an IP",
    "[listen]\ntls_key_file = 'k'": "listen.tls_key_file: and listen.tls_certificate_file go",
    "[waves]\npolicy = 'fast'": "waves.policy: must be one of planner",
    "[dispatch]\npreempt_after_s = 20": "dispatch.preempt_after_s: must be shorter",
    "[entry]\nretry_shar = 0.1": "entry.retry_shar: is unknown, did you mean retry_share?",
    "[claims": "is not valid TOML",
}


class SettingsTest(TestCase):
    def test_valid_file_is_accepted(self) -> None:
        result = parse_settings(VALID, "x.toml")
        self.assertTrue(isinstance(result, Success), result)
        self.assertEqual("kandy", result.unwrap().hall)

    def test_invalid_files_are_rejected_by_key_and_line(self) -> None:
        for text, expected in INVALID.items():
            fault = parse_settings(VALID + text + "\n", "x.toml").failure()
            self.assertEqual(ResultCode.BAD_SETTINGS, fault.code)
            self.assertIn(expected, fault.message)

    def test_all_problems_are_reported_together(self) -> None:
        text = "nam = 1\nhall = 2\n[peers]\nheartbeat_ms = 3\n"
        message = parse_settings(text, "x.toml").failure().message
        self.assertEqual(
            [
                "x.toml has 5 faults; correct each:",
                "line 1: nam: is unknown, did you mean name?",
                "line 2: hall: is 2, expected a text",
                "line 4: peers.heartbeat_ms: has the wrong unit, expected heartbeat_s",
                "name: is missing",
                "platform.log_url: is missing",
            ],
            [line.strip() for line in message.splitlines()],
        )

    def test_missing_name_and_log_url_are_reported(self) -> None:
        message = parse_settings("", "x.toml").failure().message
        self.assertIn("name: is missing", message)
        self.assertIn("platform.log_url: is missing", message)

    def test_examples_are_valid(self) -> None:
        examples = sorted(Path("examples").glob("*.toml"))
        self.assertTrue(examples)
        for path in examples:
            if "hosts" not in path.name:
                result = parse_settings(path.read_text(), str(path))
                self.assertTrue(isinstance(result, Success), result)
