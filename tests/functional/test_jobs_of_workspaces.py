"""Isolation of one workspace's jobs from other workspaces."""

import asyncio
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.models.job_spec import JobSpec, StepSpec
from robinthread._internal.models.job_status import JobStatus
from robinthread._internal.models.resources import Resources
from robinthread._internal.models.workspace_policy import WorkspacePolicy, digest_keys
from robinthread._internal.node.job_service import JobRequestOutcome
from robinthread._internal.standins.job_host_standin import TaskPlan
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import (
    POOLS,
    QUEUE,
    find_violations,
    get_owner,
    hand_in,
    make_job,
    start_platform,
    wait_for_status,
    wait_until,
)
from tests.lib.virtual import run_virtual

# The bound of the example deployment.
CONFIG_APPLY_S = 2.0
LONG = StepSpec(1, cpu_millicores=1000, memory_mb=100, is_lasting=True)


def make_workspace_job(number: int, workspace: str, *steps: StepSpec) -> JobSpec:
    """Make a job of a workspace."""
    return replace_spec(make_job(number, *steps), workspace)


def replace_spec(spec: JobSpec, workspace: str) -> JobSpec:
    """Return the job as submitted by another workspace."""
    return JobSpec(spec.job_id, spec.queue, spec.pool, spec.text, spec.steps, workspace=workspace)


async def query_job(
    platform: PlatformStandin, node: str, job_id: str, workspace: str | None
) -> object:
    """Query a job; return its status, or the outcome if it has none."""
    job_service = platform.nodes[node].assembled.job_service
    state = await job_service.get_status(QUEUE, job_id, workspace)
    return state.status or state.outcome


async def cancel_as(
    platform: PlatformStandin, node: str, job_id: str, workspace: str | None
) -> JobRequestOutcome:
    """Cancel a job as a workspace."""
    job_service = platform.nodes[node].assembled.job_service
    return await job_service.cancel(QUEUE, job_id, asyncio.get_running_loop().time() + 3, workspace)


def list_accepted_keys(platform: PlatformStandin, node: str) -> list[str]:
    """List the keys that a node accepts."""
    config = platform.nodes[node].assembled.config_holder.config
    assert config is not None
    return [key for key in ("a", "b") if config.find_workspace(key)]


class JobsOfWorkspacesTest(TestCase):
    def test_other_workspace_cannot_see_or_cancel_a_job(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            spec = make_workspace_job(1, "maps")
            await hand_in(platform, "node0", spec)
            for node in platform.nodes:
                self.assertEqual(
                    JobRequestOutcome.NO_SUCH_JOB,
                    await query_job(platform, node, spec.job_id, "shop"),
                )
                self.assertEqual(
                    JobRequestOutcome.NO_SUCH_JOB,
                    await cancel_as(platform, node, spec.job_id, "shop"),
                )
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            for node in platform.nodes:
                for _ in range(2):
                    states = [
                        await query_job(platform, node, spec.job_id, workspace)
                        for workspace in ("maps", None, "shop")
                    ]
                    self.assertEqual(
                        [JobStatus.SUCCEEDED, JobStatus.SUCCEEDED, JobRequestOutcome.NO_SUCH_JOB],
                        states,
                    )

        run_virtual(work())

    def test_foreign_cancel_while_the_owner_is_unreachable_has_no_effect(self) -> None:
        async def work() -> None:
            platform = await start_platform(lambda task: TaskPlan(None, Resources(1000, 100)))
            spec = make_workspace_job(1, "maps", LONG)
            await hand_in(platform, "node0", spec)
            await wait_until(lambda: len(platform.hosts.ledger.runs) == 1)
            owner = get_owner(platform)
            assert owner is not None
            other = next(name for name in platform.nodes if name != owner)
            # The owner is unreachable, so the other node cannot determine the job's workspace.
            platform.cut_nodes.add(owner)
            for workspace in ("shop", "maps-2"):
                outcome = await cancel_as(platform, other, spec.job_id, workspace)
                self.assertEqual(JobRequestOutcome.DONE, outcome)
            platform.cut_nodes.discard(owner)
            await asyncio.sleep(4)
            self.assertEqual(
                JobStatus.RUNNING, await query_job(platform, other, spec.job_id, "maps")
            )
            platform.cut_nodes.add(owner)
            self.assertEqual(
                JobRequestOutcome.DONE, await cancel_as(platform, other, spec.job_id, "maps")
            )
            platform.cut_nodes.discard(owner)
            await wait_for_status(platform, spec.job_id, JobStatus.CANCELLED)
            self.assertEqual([], find_violations(platform))

        run_virtual(work())

    def test_foreign_cancel_before_the_job_has_no_effect(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            spec = make_workspace_job(1, "maps")
            owner = get_owner(platform)
            assert owner is not None
            other = next(name for name in platform.nodes if name != owner)
            platform.cut_nodes.add(owner)
            await cancel_as(platform, other, spec.job_id, "shop")
            platform.cut_nodes.discard(owner)
            await hand_in(platform, "node0", spec)
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)

        run_virtual(work())

    def test_id_used_by_another_workspace_keeps_its_job(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            first = make_workspace_job(1, "maps")
            second = replace_spec(make_job(1, LONG), "shop")
            self.assertEqual(JobRequestOutcome.DONE, await hand_in(platform, "node0", first))
            self.assertEqual(JobRequestOutcome.ID_TAKEN, await hand_in(platform, "node0", second))
            # Another node has not seen the first job, so the order of the log decides.
            await hand_in(platform, "node1", second)
            await wait_for_status(platform, first.job_id, JobStatus.SUCCEEDED)
            self.assertEqual(6, len(platform.hosts.ledger.runs))
            state = await query_job(platform, "node2", first.job_id, "shop")
            self.assertEqual(JobRequestOutcome.NO_SUCH_JOB, state)
            self.assertEqual(JobRequestOutcome.DONE, await hand_in(platform, "node0", first))

        run_virtual(work())

    def test_job_accepted_before_its_queue_required_keys_can_still_be_queried(self) -> None:
        async def work() -> None:
            platform = await start_platform()
            spec = make_job(1)
            await hand_in(platform, "node0", spec)
            await wait_for_status(platform, spec.job_id, JobStatus.SUCCEEDED)
            self.assertEqual(
                JobStatus.SUCCEEDED, await query_job(platform, "node1", spec.job_id, "maps")
            )

        run_virtual(work())

    def test_withdrawn_key_is_rejected_by_every_node_within_the_bound(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=8)
            platform.store.faults.latency_s = 0.2
            queue = replace(QUEUE, is_public=False)
            for version, keys in enumerate((["a", "b"], ["b"], []), 2):
                maps = WorkspacePolicy("maps", digest_keys(keys))
                platform.configure(version, (queue,), POOLS, (maps,))
                await wait_until(
                    lambda: all(
                        list_accepted_keys(platform, node) == keys for node in platform.nodes
                    ),
                    CONFIG_APPLY_S,
                )

        run_virtual(work())

    def test_node_cut_off_from_the_store_keeps_its_keys_and_catches_up_later(self) -> None:
        async def work() -> None:
            platform = await start_platform(nodes=6)
            queue = replace(QUEUE, is_public=False)
            cut_off = {"node1", "node4"}

            def put(version: int, keys: list[str]) -> None:
                maps = WorkspacePolicy("maps", digest_keys(keys))
                platform.configure(version, (queue,), POOLS, (maps,))

            async def wait_for(names: set[str], keys: list[str]) -> float:
                return await wait_until(
                    lambda: all(list_accepted_keys(platform, name) == keys for name in names), 10.0
                )

            put(2, ["a", "b"])
            await wait_for(set(platform.nodes), ["a", "b"])
            platform.store.faults.silent |= cut_off
            put(3, ["b"])
            # Versions in quick succession.
            for version in range(4, 24):
                await asyncio.sleep(0.1)
                put(version, ["b"])
            took_s = await wait_for(platform.nodes.keys() - cut_off, ["b"])
            self.assertLess(took_s, CONFIG_APPLY_S)
            await asyncio.sleep(5)
            for name in cut_off:
                self.assertEqual(["a", "b"], list_accepted_keys(platform, name))
            platform.store.faults.silent -= cut_off
            # A node counts as connected 3 s after the store is reachable again.
            took_s = await wait_for(set(platform.nodes), ["b"])
            self.assertLess(took_s, 3.0 + CONFIG_APPLY_S)
            platform.kill_node("node2")
            platform.start_node("node2")
            holder = platform.nodes["node2"].assembled.config_holder
            await wait_until(lambda: holder.config is not None)
            self.assertEqual(["b"], list_accepted_keys(platform, "node2"))

        run_virtual(work())
