"""Deployment files: every error is reported, all at once, and drawn deployments are valid."""

from returns.result import Failure
from testtools import TestCase

from robinthread._internal.experiments.deployment import Deployment
from robinthread._internal.experiments.deployment_file import (
    iter_deployment_conflicts,
    parse_deployment,
)
from robinthread._internal.experiments.drawn_deployments import draw_deployment

VALID = """
name = "one"
[queues.tiles]
pool = "tiles"
jobs_per_s = 4
"""


class DeploymentFileTest(TestCase):
    def find_errors(self, text: str) -> list[str]:
        result = parse_deployment(text, "one.toml")
        assert isinstance(result, Failure)
        return [line.strip() for line in result.failure().message.splitlines()[1:]]

    def test_valid_file_is_read_with_defaults(self) -> None:
        found = parse_deployment(VALID, "one.toml").unwrap()
        self.assertEqual(("tiles",), found.pools)
        self.assertEqual(4.0, found.queues["tiles"].jobs_per_s)
        self.assertEqual(Deployment().machines, found.machines)

    def test_errors_of_form_are_reported_at_once_with_their_lines(self) -> None:
        text = "queues = 3\nlengt_s = 4\n[nodes]\ncount = 2.5\n[troubles.one]\nfor_ms = 3\n"
        self.assertEqual(
            [
                "line 1: queues: is a value, expected tables by name",
                "line 2: lengt_s: is unknown, did you mean length_s?",
                "line 4: nodes.count: is 2.5, expected a whole number",
                "line 6: troubles.one.for_ms: has the wrong unit, expected for_s",
            ],
            self.find_errors(text),
        )

    def test_errors_of_range_are_reported_at_once_with_the_allowed_values(self) -> None:
        text = """
        length_s = -1.0
        [machines]
        cpu_millicores = 1000
        [queues.tiles]
        shape = "round"
        work_spread = 1.0
        [troubles.one]
        kind = "flood"
        share = 2.0
        """
        self.assertEqual(
            [
                "line 2: length_s: is -1.0, expected more than 0",
                "queues.tiles.pool: is missing, expected the name of a pool",
                "line 6: queues.tiles.shape: is 'round', expected one of steady, turns, ramp",
                "line 7: queues.tiles.work_spread: is 1.0, expected less than 1",
                "queues.tiles.cpu_millicores: is 2000, expected 1000 at most, as a machine has",
                "line 9: troubles.one.kind: is 'flood', expected one of kill_nodes, cut_nodes, "
                "crash_hosts, slow_store, store_away",
                "line 10: troubles.one.share: is 2.0, expected 1 at most",
            ],
            self.find_errors(text),
        )

    def test_errors_of_form_and_of_range_are_reported_together(self) -> None:
        text = VALID.replace("jobs_per_s = 4", 'jobs_per_s = -1\nshape = "wave"\n[nodes]\ncnt = 3')
        self.assertEqual(
            [
                "line 8: nodes.cnt: is unknown, did you mean count?",
                "line 5: queues.tiles.jobs_per_s: is -1.0, expected more than 0",
                "line 6: queues.tiles.shape: is 'wave', expected one of steady, turns, ramp",
            ],
            self.find_errors(text),
        )

    def test_deployment_without_queues_is_rejected(self) -> None:
        self.assertEqual(["queues: are missing, expected one at least"], self.find_errors(""))

    def test_queue_cannot_use_the_reserve(self) -> None:
        expected = (
            "line 4: queues.tiles.pool: is 'reserve', which is the pool of machines that are off"
        )
        self.assertEqual([expected], self.find_errors(VALID.replace('"tiles"', '"reserve"')))

    def test_drawn_deployments_are_valid_and_differ(self) -> None:
        drawn = list(map(draw_deployment, range(1, 201)))
        self.assertEqual(
            [],
            [
                list(iter_deployment_conflicts(drawn_one))
                for drawn_one in drawn
                if any(iter_deployment_conflicts(drawn_one))
            ],
        )
        self.assertEqual(len(drawn), len(set(map(repr, drawn))))
