"""Connections that go silent permanently cost one call and are not used again."""

import asyncio
from typing import Final

from testtools import TestCase

from robinthread._internal.durable.errors import StoreNoAnswerError
from robinthread._internal.platform.store import PlatformStore
from robinthread._internal.telemetry.node_metrics import NodeMetrics
from robinthread._internal.utils import keep_alive_connections
from robinthread._internal.utils.http_call import CallLostError, HttpClient, call, make_client
from robinthread._internal.utils.keep_alive_connections import RETIRE_INTERVAL_S
from tests.lib.silent_service import SilentService

CONNECTIONS_MAX: Final = 64
IDLE_COUNTS: Final = (1, 5, 20)
CALLS: Final = 30
# Timeout of calls that are expected to be lost.
SHORT_S: Final = 0.1
# Timeout of calls that are expected to succeed: far above the latency of loopback on a busy
# machine.
LONG_S: Final = 1.0
POLL_S: Final = 0.05
POLLS_MAX: Final = 100


class SilentConnectionsTest(TestCase):
    def test_one_call_is_lost_however_many_connections_went_silent(self) -> None:
        async def work(idle_count: int) -> None:
            async with SilentService() as service:
                client = make_client(CONNECTIONS_MAX)
                await _open(client, service, idle_count)
                service.silence()
                await self._lose(client, service)
                answered = [await _send(client, service) for _ in range(idle_count)]
                self.assertEqual([True] * idle_count, answered)
                self.assertEqual(idle_count + 1, service.opened)
                # Each call was sent once; all but the lost one used the new connection.
                self.assertEqual([idle_count] * idle_count, service.requests[idle_count + 1 :])
                client.fetcher.close()

        for idle_count in IDLE_COUNTS:
            asyncio.run(work(idle_count))

    def test_store_is_not_lost_twice_in_a_row(self) -> None:
        async def work() -> None:
            async with SilentService() as service:
                client = make_client(CONNECTIONS_MAX)
                store = PlatformStore(client, service.address, NodeMetrics())
                await _open(client, service, IDLE_COUNTS[-1])
                service.silence()
                outcomes = [await _join(store) for _ in range(4)]
                self.assertEqual([False, True, True, True], outcomes)
                client.fetcher.close()

        asyncio.run(work())

    def test_callers_at_once_lose_one_call_each(self) -> None:
        async def work() -> None:
            async with SilentService() as service:
                client = make_client(CONNECTIONS_MAX)
                await _open(client, service, 20)
                service.silence()
                lost = await asyncio.gather(*(_send(client, service, SHORT_S) for _ in range(5)))
                self.assertEqual([False] * 5, lost)
                answered = await asyncio.gather(*(_send(client, service) for _ in range(5)))
                self.assertEqual([True] * 5, answered)
                client.fetcher.close()

        asyncio.run(work())

    def test_connections_that_go_silent_again_cost_one_call_again(self) -> None:
        async def work() -> None:
            async with SilentService() as service:
                client = make_client(CONNECTIONS_MAX)
                for pause_s in (RETIRE_INTERVAL_S, 0.0):
                    await _open(client, service, 5)
                    service.silence()
                    await self._lose(client, service)
                    self.assertTrue(await _send(client, service))
                    await asyncio.sleep(pause_s)
                client.fetcher.close()

        asyncio.run(work())

    def test_other_addresses_keep_their_connections(self) -> None:
        async def work() -> None:
            async with SilentService() as silent, SilentService() as sound:
                client = make_client(CONNECTIONS_MAX)
                await _open(client, silent, 5)
                await _open(client, sound, 5)
                silent.silence()
                await self._lose(client, silent)
                answered = [await _send(client, sound) for _ in range(CALLS)]
                self.assertEqual([True] * CALLS, answered)
                self.assertEqual(5, sound.opened)
                client.fetcher.close()

        asyncio.run(work())

    def test_late_loss_on_an_old_connection_leaves_the_new_ones(self) -> None:
        async def work() -> None:
            async with SilentService() as service:
                client = make_client(CONNECTIONS_MAX)
                await _open(client, service, 5)
                service.silence()
                late_call = asyncio.ensure_future(_send(client, service, 4 * SHORT_S))
                await self._lose(client, service)
                self.assertTrue(await _send(client, service))
                opened = service.opened
                self.assertFalse(await late_call)
                answered = [await _send(client, service) for _ in range(CALLS)]
                self.assertEqual([True] * CALLS, answered)
                self.assertEqual(opened, service.opened)
                client.fetcher.close()

        asyncio.run(work())

    def test_answered_calls_open_no_further_connection(self) -> None:
        async def work() -> None:
            async with SilentService() as service:
                client = make_client(CONNECTIONS_MAX)
                await _open(client, service, 5)
                for _ in range(CALLS):
                    answered = await asyncio.gather(*(_send(client, service) for _ in range(5)))
                    self.assertEqual([True] * 5, answered)
                self.assertEqual(5, service.opened)
                client.fetcher.close()

        asyncio.run(work())

    def test_service_without_responses_costs_at_most_one_connection_per_call(self) -> None:
        async def work() -> None:
            async with SilentService() as service:
                client = make_client(CONNECTIONS_MAX)
                await _open(client, service, 5)
                service.answers.clear()
                lost = [await _send(client, service, SHORT_S / 4) for _ in range(CALLS)]
                self.assertEqual([False] * CALLS, lost)
                service.answers.set()
                self.assertTrue(await _send(client, service))
                opened = service.opened
                self.assertLessEqual(opened, 5 + CALLS)
                answered = [await _send(client, service) for _ in range(CALLS)]
                self.assertEqual([True] * CALLS, answered)
                self.assertEqual(opened, service.opened)
                client.fetcher.close()

        asyncio.run(work())

    def test_losses_at_short_intervals_leave_the_new_connections(self) -> None:
        async def work() -> None:
            async with SilentService() as service:
                client = make_client(CONNECTIONS_MAX)
                for _ in range(4):
                    await _open(client, service, 5)
                    service.answers.clear()
                    await self._lose(client, service)
                    service.answers.set()
                # The first loss closed five connections, each later one only its own.
                self.assertEqual(5 + 5 + 2, service.opened)
                client.fetcher.close()

        asyncio.run(work())

    def test_idle_connections_to_all_addresses_are_closed(self) -> None:
        async def work() -> None:
            self.patch(keep_alive_connections, "IDLE_MAX_S", 1)
            async with SilentService() as idle, SilentService() as busy:
                client = make_client(CONNECTIONS_MAX)
                await _open(client, idle, 5)
                for _ in range(POLLS_MAX):
                    self.assertTrue(await _send(client, busy))
                    if not idle.open:
                        break
                    await asyncio.sleep(POLL_S)
                self.assertEqual((0, 1), (len(idle.open), len(busy.open)))
                client.fetcher.close()

        asyncio.run(work())

    def test_loss_on_a_new_connection_leaves_the_others_open(self) -> None:
        async def work() -> None:
            async with SilentService() as service:
                client = make_client(CONNECTIONS_MAX)
                service.answers.clear()
                pending = [
                    asyncio.ensure_future(_send(client, service, seconds))
                    for seconds in (LONG_S, LONG_S, SHORT_S)
                ]
                self.assertFalse(await pending[-1])
                service.answers.set()
                self.assertEqual([True, True], await asyncio.gather(*pending[:-1]))
                answered = await asyncio.gather(*(_send(client, service) for _ in range(2)))
                self.assertEqual([True, True], answered)
                self.assertEqual(3, service.opened)
                client.fetcher.close()

        asyncio.run(work())

    async def _lose(self, client: HttpClient, service: SilentService) -> None:
        self.assertFalse(await _send(client, service, SHORT_S))


async def _send(client: HttpClient, service: SilentService, timeout_s: float = LONG_S) -> bool:
    """Make a call that may be sent only once; return whether it got a response."""
    try:
        await call(client, f"http://{service.address}/", timeout_s=timeout_s, body=b"{}")
    except CallLostError:
        return False
    return True


async def _join(store: PlatformStore) -> bool:
    try:
        await store.join("group", "member", (), 1000, 0)
    except StoreNoAnswerError:
        return False
    return True


async def _open(client: HttpClient, service: SilentService, count: int) -> None:
    """Open ``count`` connections, each idle after a call that got its response."""
    before = len(service.requests)
    service.answers.clear()
    calls = [asyncio.ensure_future(_send(client, service)) for _ in range(count)]
    while len(service.requests) < before + count:
        await asyncio.sleep(0.001)
    service.answers.set()
    assert all(await asyncio.gather(*calls))
