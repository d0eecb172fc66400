"""The policy file of a node: the deployed one and invalid ones."""

from pathlib import Path

from returns.result import Success
from testtools import TestCase

from robinthread._internal.results import ResultCode
from robinthread._internal.settings.parse import parse_policy
from robinthread._internal.settings.policy_settings import PolicySettings

INVALID = {
    "[demand]\nlate_share = 1.5": "line 2: demand.late_share: is 1.5, expected at least 0",
    "[placement]\nslack_margin_s = -1": "line 2: placement.slack_margin_s: is -1.0, expected",
    "[placement]\nslack_margin_ms = 1": "has the wrong unit, expected slack_margin_s",
    "[fleet]\nupkeep_first = 1": "line 2: fleet.upkeep_first: is 1, expected true or false",
    "[fleets]\n": "line 1: fleets: is unknown, did you mean fleet?",
}


class PolicySettingsTest(TestCase):
    def test_deployed_file_gives_the_defaults(self) -> None:
        path = Path("deploy/policy.toml")
        result = parse_policy(path.read_text(), str(path))
        self.assertTrue(isinstance(result, Success), result)
        self.assertEqual(PolicySettings(), result.unwrap())

    def test_invalid_files_are_rejected_by_key_and_line(self) -> None:
        for text, expected in INVALID.items():
            fault = parse_policy(text, "x.toml").failure()
            self.assertEqual(ResultCode.BAD_SETTINGS, fault.code)
            self.assertIn(expected, fault.message)
