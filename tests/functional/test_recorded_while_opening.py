"""Records that a live earlier owner writes while the next one opens the pool."""

import asyncio
from typing import Any

import msgspec
from testtools import TestCase

from robinthread._internal.durable.errors import StoreNoAnswerError
from robinthread._internal.durable.inbox_records import INBOX_PARTITION
from robinthread._internal.durable.keyed_follower import FOLLOW_WAIT_S
from robinthread._internal.durable.ownership import OWNERS_PARTITION, Member
from robinthread._internal.durable.store import Partition, ReadPage
from robinthread._internal.models.job_spec import StepSpec
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.task_key import TaskKey
from robinthread._internal.node.group_member import GROUP
from robinthread._internal.node.pool_owner import PROGRESS_TOPIC
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from robinthread._internal.standins.store_standin import CALL_TIMEOUT_S, StoreClient
from tests.lib.job_platforms import (
    POOL,
    find_violations,
    get_owner,
    hand_in,
    make_job,
    start_platform,
    wait_until,
)
from tests.lib.virtual import run_virtual

QUICK = StepSpec(1, cpu_millicores=1000, memory_mb=100)
WORK_S = 0.05
# Time after which the first attempt of a call fails and is retried.
UNANSWERED_S = 0.6


def plan_quick(task: TaskKey) -> TaskPlan:
    """Plan tasks that complete quickly."""
    return TaskPlan(WORK_S, Resources(1000, 100))


def get_client(platform: PlatformStandin, node: str) -> StoreClient:
    """Return the store as a node sees it."""
    client = platform.nodes[node].assembled.owned._context.store
    assert isinstance(client, StoreClient)
    return client


def lose_reads(client: StoreClient, lost: Partition, wait_min_s: float = 0.0) -> None:
    """Drop reads of a partition from now on, or only those that wait for ``wait_min_s`` or more."""
    read = client.read

    async def lose(
        partition: Partition, from_offset: int, wait_s: float, timeout_s: float | None = None
    ) -> ReadPage:
        if partition == lost and wait_s >= wait_min_s:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreNoAnswerError("lost")
        return await read(partition, from_offset, wait_s, timeout_s)

    client.read = lose  # type: ignore[method-assign]


def lose_first_append(client: StoreClient, topic: str) -> None:
    """Drop the first append to a topic, so that it has no effect and no response."""
    append = client.append
    lost: list[Partition] = []

    async def lose(partition: Partition, *rest: Any, **options: Any) -> Any:
        if partition.topic == topic and not lost:
            lost.append(partition)
            await asyncio.sleep(UNANSWERED_S)
            raise StoreNoAnswerError("lost")
        return await append(partition, *rest, **options)

    client.append = lose  # type: ignore[method-assign]


async def unlist(platform: PlatformStandin, node: str) -> None:
    """Make a live node count as lost."""
    names = await platform.store.connect("test").list_members(GROUP)
    platform.store.unlisted |= {
        name for name in names if msgspec.json.decode(name, type=Member).node == node
    }
    platform.cut_nodes.add(node)
    platform.start_node("late")


class RecordedWhileOpeningTest(TestCase):
    def test_job_completed_while_the_next_owner_opens_does_not_run_again(self) -> None:
        """The next owner has read the inbox; its first append to the journal is lost."""

        async def work() -> None:
            platform = await start_platform(plan_quick, nodes=2)
            old = get_owner(platform)
            assert old is not None
            lose_reads(get_client(platform, old), OWNERS_PARTITION)
            # The read in progress is the last one that gets a response.
            await asyncio.sleep(FOLLOW_WAIT_S + 0.1)
            await unlist(platform, old)
            others = [name for name in platform.nodes if name != old]
            for name in others:
                lose_first_append(get_client(platform, name), PROGRESS_TOPIC)
                # The follower's long poll is dropped, but not the reads of the opening itself.
                lose_reads(get_client(platform, name), INBOX_PARTITION, FOLLOW_WAIT_S)

            def find_next() -> str | None:
                return next(
                    (n for n in others if POOL in platform.nodes[n].assembled.owned.owners), None
                )

            await wait_until(lambda: find_next() is not None)
            new = find_next()
            assert new is not None
            owner = platform.nodes[new].assembled.owned.owners[POOL]
            await wait_until(lambda: "inbox" not in owner.opening.missing)
            self.assertIn("journal", owner.opening.missing)
            job = make_job(1, QUICK)
            await hand_in(platform, old, job)
            await wait_until(lambda: owner.is_open)
            self.assertEqual(1, len(platform.hosts.ledger.runs))
            # From here on, its reads use a new connection.
            del get_client(platform, new).read
            await asyncio.sleep(10)
            self.assertEqual([], find_violations(platform))
            self.assertEqual(1, len(platform.hosts.ledger.runs))

        run_virtual(work())
