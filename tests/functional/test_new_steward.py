"""A new steward does not order machines again that the lost one has just moved."""

import asyncio
from collections import Counter

from testtools import TestCase

from tests.functional.test_lasting_again import ALONE, WATCH_S
from tests.lib.job_platforms import find_violations, wait_until
from tests.lib.lasting import get_first_host, kill_owner, start_lasting
from tests.lib.virtual import run_virtual

# Times after an order at which its steward and the pool's owner are lost: the machine is moving,
# has come up, or is about to be unblocked.
LOST_AFTER_S = (0.0, 2.0, 2.8, 4.0, 5.8)


async def _count_moves(lost_after_s: float) -> int:
    """Return the number of machines moved for one lost host."""
    platform = await start_lasting(hosts=3, reserve=3, step=ALONE)
    moved = platform.machines.move_count
    platform.crash_host(get_first_host(platform).record.id)
    await wait_until(lambda: platform.machines.move_count > moved)
    await asyncio.sleep(lost_after_s)
    nodes = platform.nodes
    stewards = [name for name in nodes if nodes[name].assembled.node._steward is not None]
    if kill_owner(platform) not in stewards:
        platform.kill_node(stewards[0])
    await asyncio.sleep(WATCH_S)
    assert not find_violations(platform)
    return platform.machines.move_count - moved


class NewStewardTest(TestCase):
    def test_hosts_that_the_previous_steward_moved_stay(self) -> None:
        moves = {after_s: run_virtual(_count_moves(after_s)) for after_s in LOST_AFTER_S}
        self.assertEqual(Counter({1: len(LOST_AFTER_S)}), Counter(moves.values()), str(moves))
