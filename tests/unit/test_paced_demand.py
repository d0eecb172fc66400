"""How often a pool's need is read."""

import asyncio
import time

from testtools import TestCase

from robinthread._internal.jobs.demand import Demand, DemandMeter
from robinthread._internal.jobs.pool_jobs import PoolJobs
from robinthread._internal.node.paced_demand import PAUSE_MAX_S, PacedDemand
from robinthread._internal.settings.policy_settings import DemandPolicy

TAKES_S = 0.01
PERIOD_S = 0.02


class SlowMeter(DemandMeter):
    """Takes a while to read, and counts."""

    def __init__(self, takes_s: float) -> None:
        super().__init__(1.8, DemandPolicy())
        self.takes_s = takes_s
        self.count = 0

    def read(self, pool: PoolJobs, now_s: float, now_ms: int) -> Demand:
        self.count += 1
        time.sleep(self.takes_s)
        return super().read(pool, now_s, now_ms)


def count_readings(takes_s: float, cores: float, asked: int) -> int:
    """Return how many readings were made of those asked for."""

    async def work() -> int:
        meter = SlowMeter(takes_s)
        demand, pool = PacedDemand(meter, cores), PoolJobs()
        for _ in range(asked):
            demand.read(pool, 0)
            await asyncio.sleep(PERIOD_S)
        return meter.count

    return asyncio.run(work())


class PacedDemandTest(TestCase):
    def test_reading_that_takes_long_is_made_rarely(self) -> None:
        # 10 ms each and a pause of 90 ms at least: one in four asked at most.
        self.assertLessEqual(count_readings(TAKES_S, 1.0, 16), 5)

    def test_node_with_less_than_a_core_reads_more_rarely(self) -> None:
        # The pause is the longest one, 0.5 s: 16 questions take a little more than 0.3 s.
        self.assertGreater(TAKES_S * 9 / 0.12, PAUSE_MAX_S)
        self.assertEqual(1, count_readings(TAKES_S, 0.12, 16))
