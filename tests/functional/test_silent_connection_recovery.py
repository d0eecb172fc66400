"""Time until connections that have gone silent are replaced by new ones."""

import asyncio

from testtools import TestCase

from robinthread._internal.jobs.host import HostContact
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.pool_policy import PoolPolicy
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    HOST_CAPACITY,
    POOL,
    QUEUE,
    find_violations,
    get_others,
    get_owner,
    get_status,
    hand_in,
    make_job,
    wait_until,
)
from tests.lib.lasting import plan_lasting
from tests.lib.virtual import run_virtual

HOSTS_COUNT = 12
LASTING = StepSpec(4, cpu_millicores=1000, memory_mb=100, is_lasting=True)
# Offsets within the second over which a pool spreads the polls of its hosts.
OFFSETS_S = (0.0, 0.25, 0.5, 0.75)
# A poll waits for up to 1 s and times out 0.4 s later; the next one gets a response at once.
HOSTS_MAX_S = 1.8
# A read of the store waits for up to 1.5 s, and times out 1.0 s later if the store is slow.
# A node that was cut off counts as reachable again after 3 s.
STORE_MAX_S = 3.0
# A request to another node times out and is sent again.
PEERS_MAX_S = 1.5


async def _start(offset_s: float) -> PlatformStandin:
    platform = PlatformStandin(plan_lasting)
    # Without a reserve, no machine is released.
    platform.configure(1, (QUEUE,), (PoolPolicy(POOL),))
    for number in range(HOSTS_COUNT):
        platform.machines.add(POOL, f"r{number % 2}", HOST_CAPACITY)
    for number in range(3):
        platform.start_node(f"node{number}")
    await wait_until(lambda: get_owner(platform) is not None)
    await asyncio.sleep(1)
    await hand_in(platform, get_others(platform)[0], make_job(1, LASTING))
    await get_status(platform, get_others(platform)[0], make_job(1).job_id)
    await asyncio.sleep(3 + offset_s)
    return platform


async def _silence_hosts(offset_s: float) -> float:
    """Silence the hosts' connections; return the seconds until all have reported on new ones."""
    platform = await _start(offset_s)
    owner = platform.nodes[get_owner(platform) or ""].assembled.owned.owners[POOL]
    now_s = asyncio.get_running_loop().time()
    platform.hosts.faults.connections.silence()
    hosts = owner.jobs.hosts.values()
    await wait_until(
        lambda: all(
            host.reported_at_s > now_s and host.contact is HostContact.ANSWERING for host in hosts
        )
    )
    took_s = asyncio.get_running_loop().time() - now_s
    await asyncio.sleep(8)
    assert not find_violations(platform)
    assert all(run.ended_at_s is None for run in platform.hosts.ledger.runs)
    return took_s


async def _silence_store(offset_s: float) -> float:
    """Silence the store's connections; return the seconds until it has confirmed all nodes."""
    platform = await _start(offset_s)
    owner = get_owner(platform)
    now_s = asyncio.get_running_loop().time()
    platform.store.faults.connections.silence()
    contexts = [node.assembled.node._context for node in platform.nodes.values()]
    loop = asyncio.get_running_loop()
    await wait_until(
        lambda: all(
            context.get_owners_unconfirmed_s() < loop.time() - now_s - 0.001 for context in contexts
        )
    )
    took_s = loop.time() - now_s
    await asyncio.sleep(8)
    assert get_owner(platform) == owner
    assert all(run.ended_at_s is None for run in platform.hosts.ledger.runs)
    return took_s


async def _silence_peers(offset_s: float) -> float:
    """Silence the peers' connections; return the seconds until all nodes relay a job's status."""
    platform = await _start(offset_s)
    now_s = asyncio.get_running_loop().time()
    platform.peer_connections.silence()
    others = get_others(platform)
    while True:
        statuses = await asyncio.gather(
            *(get_status(platform, name, make_job(1).job_id) for name in others)
        )
        if all(status is JobStatus.RUNNING for status in statuses):
            return asyncio.get_running_loop().time() - now_s


class SilentConnectionRecoveryTest(TestCase):
    def test_hosts_are_contacted_again_and_their_runs_continue(self) -> None:
        took_s = [run_virtual(_silence_hosts(offset_s)) for offset_s in OFFSETS_S]
        self.assertLess(max(took_s), HOSTS_MAX_S, took_s)

    def test_store_confirms_the_nodes_and_no_pool_changes_its_owner(self) -> None:
        took_s = [run_virtual(_silence_store(offset_s)) for offset_s in OFFSETS_S]
        self.assertLess(max(took_s), STORE_MAX_S, took_s)

    def test_nodes_respond_to_each_other_again(self) -> None:
        took_s = [run_virtual(_silence_peers(offset_s)) for offset_s in OFFSETS_S]
        self.assertLess(max(took_s), PEERS_MAX_S, took_s)
