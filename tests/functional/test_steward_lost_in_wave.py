"""A new steward does not drain machines again whose upkeep the lost one ordered."""

import asyncio
import json

from testtools import TestCase

from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.machine import MachineState
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    HOST_CAPACITY,
    POOL,
    QUEUE,
    find_violations,
    get_owner,
    hand_in,
    make_job,
    wait_until,
)
from tests.lib.lasting import plan_lasting
from tests.lib.virtual import run_virtual

# A pool without a reserve: machines undergo upkeep where they are.
POOLS = (PoolPolicy(POOL),)
SPREAD = StepSpec(8, cpu_millicores=1000, memory_mb=100, is_lasting=True)
WAVE = 1
# Times from the start of a job on the machine that came back to the loss of the steward, which owns
# no pool.
LOST_AFTER_S = (0.0, 0.5, 1.0, 4.0)
COMES_UP_S = 0.6
WATCH_S = 10.0


def _get_steward(platform: PlatformStandin) -> str:
    nodes = platform.nodes
    return next(name for name in nodes if nodes[name].assembled.node._steward is not None)


async def _count_emptied(lost_after_s: float | None) -> tuple[int, int]:
    """Return how often a machine is drained after its upkeep, and how many runs end."""
    platform = PlatformStandin(plan_lasting)
    platform.configure(1, (QUEUE,), POOLS)
    for number in range(4):
        platform.machines.add(POOL, f"r{number % 2}", HOST_CAPACITY)
        platform.start_node(f"node{number}")
    await wait_until(lambda: get_owner(platform) is not None)
    await asyncio.sleep(2)
    assert _get_steward(platform) != get_owner(platform)
    machine = platform.machines.machines["m-0"]
    platform.request_wave(UpkeepWave(WAVE, (machine.name,), 60, 1))
    await wait_until(lambda: bool(platform.machines.waves.begun.get(WAVE)))
    await wait_until(lambda: machine.state is MachineState.UP)
    await asyncio.sleep(COMES_UP_S)
    await hand_in(platform, get_owner(platform) or "", make_job(7, SPREAD))
    await asyncio.sleep(0.3 if lost_after_s is None else lost_after_s)
    before = len(platform.events)
    if lost_after_s is not None:
        platform.kill_node(_get_steward(platform))
    await asyncio.sleep(WATCH_S)
    assert not find_violations(platform)
    lines = [json.loads(line) for line in platform.events[before:]]
    emptied = [
        line
        for line in lines
        if line["event"] == "machines_vacating" and machine.name in line.get("machines", ())
    ]
    ended = [run for run in platform.hosts.ledger.runs if run.ended_at_s is not None]
    return len(emptied), len(ended)


class StewardLostInWaveTest(TestCase):
    def test_machine_is_not_drained_again_after_its_upkeep(self) -> None:
        self.assertEqual((0, 0), run_virtual(_count_emptied(None)))
        found = {after_s: run_virtual(_count_emptied(after_s)) for after_s in LOST_AFTER_S}
        self.assertEqual(dict.fromkeys(LOST_AFTER_S, (0, 0)), found)
