"""Parts of an experiment: demand, processors, worth and estimates."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.experiments.demand import draw_arrivals, get_rate
from robinthread._internal.experiments.deployment import Deployment, PricesSpec, QueueSpec
from robinthread._internal.experiments.estimates import estimate_difference, estimate_mean
from robinthread._internal.experiments.processors import Processors
from robinthread._internal.experiments.worth import JobOutcome, compute_worth
from tests.lib.virtual import run_virtual

QUEUE = QueueSpec(pool="tiles", jobs_per_s=10.0)
TURNS = replace(QUEUE, shape="turns")


class DemandTest(TestCase):
    def test_same_seed_draws_the_same_jobs(self) -> None:
        deployment = Deployment(queues={"a": QUEUE, "b": TURNS})
        self.assertEqual(draw_arrivals(deployment, 3), draw_arrivals(deployment, 3))
        self.assertNotEqual(draw_arrivals(deployment, 3), draw_arrivals(deployment, 4))

    def test_jobs_of_a_queue_do_not_depend_on_other_queues(self) -> None:
        def find_jobs(deployment: Deployment) -> list[tuple[float, tuple[float, ...]]]:
            drawn = draw_arrivals(deployment, 1)
            return [(arrival.at_s, arrival.work_s) for arrival in drawn if arrival.queue == "a"]

        alone = Deployment(queues={"a": QUEUE})
        self.assertEqual(find_jobs(alone), find_jobs(Deployment(queues={"a": QUEUE, "b": QUEUE})))

    def test_number_of_jobs_matches_the_rate(self) -> None:
        for shape, share in (("steady", 1.0), ("ramp", 1.0)):
            queue = replace(QUEUE, shape=shape)
            deployment = Deployment(length_s=100.0, queues={"a": queue})
            # Five standard deviations of a Poisson count with mean 1,000.
            self.assertLess(abs(len(draw_arrivals(deployment, 1)) - 1000 * share), 160)

    def test_queues_have_their_turns_one_after_another(self) -> None:
        deployment = Deployment(turn_s=5.0, queues={"a": TURNS, "c": QUEUE, "b": TURNS})
        rates = [get_rate(deployment, "b", at_s) for at_s in (0.0, 4.9, 5.0, 9.9, 10.0)]
        self.assertEqual([0.5, 0.5, 50.0, 50.0, 0.5], rates)
        self.assertEqual(10.0, get_rate(deployment, "c", 5.0))


class ProcessorsTest(TestCase):
    def test_node_does_its_work_sequentially(self) -> None:
        async def work() -> tuple[float, float]:
            processors = Processors(0.5)
            loop = asyncio.get_running_loop()
            await asyncio.gather(*(processors.spend("a", 0.1) for _ in range(3)))
            after_three_s = loop.time()
            await asyncio.gather(processors.spend("a", 0.1), processors.spend("b", 0.1))
            return after_three_s, loop.time()

        after_three_s, after_both_s = run_virtual(work())
        self.assertAlmostEqual(0.6, after_three_s)
        self.assertAlmostEqual(0.8, after_both_s)


class WorthTest(TestCase):
    def test_job_is_on_time_within_its_stretch_and_slack(self) -> None:
        queues = {"a": QUEUE, "b": replace(QUEUE, worth=3.0)}
        jobs = [
            JobOutcome("a", 0.0, 1.0, 2.2),
            JobOutcome("a", 1.0, 1.0, 3.3),
            JobOutcome("b", 2.0, 1.0, 4.0),
            JobOutcome("b", 4.0, 1.0, None),
        ]
        found = compute_worth(jobs, queues, PricesSpec(0.1, 1.0), machine_s=4.0, move_count=2)
        self.assertAlmostEqual(4 / 8, found.on_time)
        self.assertAlmostEqual(0.0, found.worst_window)
        self.assertAlmostEqual(0.5, found.worst_queue)
        self.assertAlmostEqual(2.4 / 8, found.prices)
        self.assertAlmostEqual(0.5 - 0.3, found.total)


class EstimatesTest(TestCase):
    def test_difference_is_paired_by_seed(self) -> None:
        found = estimate_difference([0.1, 0.5, 0.9], [0.2, 0.6, 1.0])
        self.assertAlmostEqual(0.1, found.mean)
        self.assertTrue(found.is_significant)

    def test_width_is_that_of_students_distribution(self) -> None:
        # The quantile for three degrees of freedom is 3.182, the standard deviation 1.291.
        found = estimate_mean([1.0, 2.0, 3.0, 4.0])
        assert found.half_width is not None
        self.assertAlmostEqual(3.182 * 1.291 / 2, found.half_width, places=2)
        self.assertIsNone(estimate_mean([1.0]).half_width)
