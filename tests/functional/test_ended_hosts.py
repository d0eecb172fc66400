"""While its lease is valid, a host counts as ended only if its end is confirmed."""

import asyncio

from testtools import TestCase

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.standins.platform_standin import PlatformStandin
from tests.lib.job_platforms import POOL, find_violations, get_owner, wait_until
from tests.lib.lasting import AGAIN_MAX_S, cut_host, get_first_host, list_runs, start_lasting
from tests.lib.virtual import run_virtual

# A host's tasks run on for this long without contact to their owner: the lease (4 s), less the
# wait of one poll (1 s) and the pause until the next one (0.2 s).
UNCONTACTED_S = 2.5
# A host counts as unlisted this long after its entry was removed.  A lease that was renewed
# until the removal is still valid then.
UNLISTED_S = 3.0


def get_host_state(platform: PlatformStandin, host_id: str) -> Host:
    """Return the state of a host at the pool's owner."""
    owner = get_owner(platform)
    assert owner is not None
    return platform.nodes[owner].assembled.owned.owners[POOL].jobs.hosts[host_id]


class EndedHostsTest(TestCase):
    def test_listed_host_that_refuses_connections_may_still_run(self) -> None:
        async def work() -> None:
            platform = await start_lasting()
            run_count = len(list_runs(platform))
            host = get_first_host(platform)
            del platform.hosts.hosts[host.record.address]
            await asyncio.sleep(UNCONTACTED_S)
            self.assertTrue(get_host_state(platform, host.record.id).is_refusing)
            platform.hosts.add(host)
            await asyncio.sleep(AGAIN_MAX_S)
            self.assertEqual([], find_violations(platform))
            self.assertEqual(run_count, len(list_runs(platform)))

        run_virtual(work())

    def test_host_that_is_not_listed_and_cut_off_may_run_on(self) -> None:
        async def work() -> None:
            platform = await start_lasting()
            host = get_first_host(platform)
            cut_host(platform, host)
            platform.unlist_host(host.record.id)
            await asyncio.sleep(AGAIN_MAX_S)
            self.assertEqual([], find_violations(platform))
            self.assertEqual("lapsed", list_runs(platform)[0].end)

        run_virtual(work())

    def test_one_refused_connection_ends_no_host_that_is_not_listed(self) -> None:
        async def work() -> None:
            platform = await start_lasting()
            run_count = len(list_runs(platform))
            host = get_first_host(platform)
            platform.unlist_host(host.record.id)
            await asyncio.sleep(UNLISTED_S)
            seen = get_host_state(platform, host.record.id)
            self.assertFalse(seen.is_listed)
            del platform.hosts.hosts[host.record.address]
            await wait_until(lambda: seen.is_refusing)
            platform.hosts.add(host)
            await asyncio.sleep(AGAIN_MAX_S)
            self.assertIs(HostContact.ANSWERING, seen.contact)
            self.assertEqual([], find_violations(platform))
            self.assertEqual(run_count, len(list_runs(platform)))

        run_virtual(work())

    def test_host_that_refuses_and_is_not_listed_may_run_on(self) -> None:
        """A network fault can refuse connections and also cut the host off from the store."""

        async def work() -> None:
            platform = await start_lasting()
            host = get_first_host(platform)
            ways = {(name, host.record.address) for name in platform.nodes}
            platform.hosts.refused_routes |= ways
            platform.unlist_host(host.record.id)
            await asyncio.sleep(AGAIN_MAX_S)
            self.assertEqual([], find_violations(platform))
            self.assertEqual("lapsed", list_runs(platform)[0].end)

        run_virtual(work())
