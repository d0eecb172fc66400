"""Pages of newest records from the store's stand-in."""

import asyncio

from testtools import TestCase

from robinthread._internal.standins.platform_standin import HOSTS
from robinthread._internal.standins.store_standin import LATENCY_S, StoreStandin
from tests.lib.virtual import run_virtual


class NewestPageTest(TestCase):
    def test_end_of_a_page_is_from_the_time_at_which_it_is_read(self) -> None:
        async def work() -> None:
            store = StoreStandin()
            store.put(HOSTS, "a", b"1")
            reading = asyncio.create_task(store.connect("node").read_newest(HOSTS, "", 1))
            await asyncio.sleep(LATENCY_S / 2)
            store.put(HOSTS, "b", b"1")
            page = await reading
            self.assertEqual(page.next_offset, len(page.records))

        run_virtual(work())
