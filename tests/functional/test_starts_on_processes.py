"""Real nodes and hosts on loopback: starts on hosts that drain, or that answer starts late."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from testtools import TestCase

from robinthread._internal.models.resources import Resources
from tests.lib.draining import find_starts_on_draining_hosts
from tests.lib.soak.drains import drain_host
from tests.lib.soak.idle_jobs import find_idle_spans
from tests.lib.soak.odd_entries import FORMS_OF_FAILURE, put_entries
from tests.lib.soak.short_plays import (
    Play,
    follow_jobs,
    make_body,
    open_play,
    wait_until_served,
)
from tests.lib.soak.world import POOL, SoakWorld

# Three such hosts have room for the jobs of ``drain_and_join``, two have not.
SMALL_HOST = Resources(4_000, 32_000)
LARGE_HOST = Resources(64_000, 256_000)
APPLIED_S = 1.0
# Time between the last job and the draining entry.
BEFORE_DRAIN_S = 0.6
ENDED_WITHIN_S = 30.0
# Time from the draining entry for which starts are looked at.
LOOK_S = 20.0


def put_odd_entries(world: SoakWorld) -> None:
    """Write entries that describe no usable host."""
    put_entries(world.put_entry, FORMS_OF_FAILURE)


def leave_as_it_is(world: SoakWorld) -> None:
    """Write nothing."""


async def drain_and_join(play: Play) -> tuple[list[str], int]:
    """Drain a host and add one while jobs come; return late starts and runs on the new host."""
    jobs = asyncio.create_task(follow_jobs(play, 90, make_body(4, 300), period_s=0.07))
    await asyncio.sleep(0.5)
    drain_host(play.world, play.list_up()[0])
    known = {host.record.id for host in play.list_up()}
    await play.world.add_machine(POOL)
    (joined,) = {host.record.id for host in play.list_up()} - known
    await asyncio.wait_for(jobs, ENDED_WITHIN_S)
    runs = play.world.hosts.ledger.runs
    return find_starts_on_draining_hosts(runs, play.world.host_changes.by_host), play.count_runs(
        joined
    )


class OddEntriesTest(TestCase):
    def test_odd_entry_does_not_end_the_reading_of_the_hosts(self) -> None:
        """One odd entry, and nodes no longer learned which hosts drain or join."""

        async def play_entries() -> tuple[list[str], int]:
            async with open_play(3, SMALL_HOST, 0.3, before=leave_as_it_is) as play:
                assert await wait_until_served(play)
                put_odd_entries(play.world)
                await asyncio.sleep(APPLIED_S)
                return await drain_and_join(play)

        late, joined_runs = asyncio.run(play_entries())
        self.assertEqual((0, True), (len(late), joined_runs > 0), str(late[-1:]))

    def test_pool_is_served_with_odd_entries_from_the_start(self) -> None:
        """Nodes that started with an odd entry in the list never opened a pool."""

        async def play_entries() -> bool:
            async with open_play(3, SMALL_HOST, 0.3, before=put_odd_entries) as play:
                return await wait_until_served(play)

        self.assertTrue(asyncio.run(play_entries()))


class SlowAnswersTest(TestCase):
    def test_start_waits_for_no_slow_answers_while_its_host_drains(self) -> None:
        """Starts that waited for a slow host were sent seconds after it said that it drains."""
        for answer_s in (0.15, 0.3):
            late = asyncio.run(_run_played(_drain_slow_host, answer_s))
            self.assertEqual(0, len(late), f"answers take {answer_s} s: {late[-1:]}")

    def test_no_job_stands_still_beside_a_slow_host(self) -> None:
        """Jobs waited seconds for one host that answered late, with room on the others."""
        self.assertEqual({}, asyncio.run(_run_played(_serve_beside_slow_host, 0.3)))


async def _drain_slow_host(play: Play, answer_s: float) -> list[str]:
    for manner in play.world.host_manners.values():
        manner.answer_s = answer_s
    jobs = asyncio.create_task(follow_jobs(play, 4, make_body(80, 3_000), period_s=0.0))
    while len(play.tracker.accepted) < 5:
        await asyncio.sleep(0.01)
    await asyncio.sleep(BEFORE_DRAIN_S)
    drain_host(play.world, play.list_up()[0])
    await asyncio.wait((jobs,), timeout=LOOK_S)
    jobs.cancel()
    return find_starts_on_draining_hosts(
        play.world.hosts.ledger.runs, play.world.host_changes.by_host
    )


async def _serve_beside_slow_host(play: Play, answer_s: float) -> dict[str, Any]:
    """Let each of four hosts answer late in turn; all jobs fit on the other three."""
    await play.world.add_machine(POOL)
    await asyncio.sleep(APPLIED_S)
    for number, manner in enumerate(play.world.host_manners.values()):
        manner.answer_s = answer_s
        jobs = follow_jobs(play, 24, make_body(12, 1_000), 0.05, first=24 * number)
        await asyncio.wait_for(jobs, ENDED_WITHIN_S)
        manner.answer_s = 0.0
    return find_idle_spans(play.world.hosts.ledger.runs, play.tracker.accepted_at_s)


async def _run_played(
    go_on: Callable[[Play, float], Coroutine[Any, Any, Any]], answer_s: float
) -> Any:
    work_s = 3.0 if go_on is _drain_slow_host else 1.0
    async with open_play(3, LARGE_HOST, work_s, before=leave_as_it_is) as play:
        assert await wait_until_served(play)
        return await go_on(play, answer_s)
