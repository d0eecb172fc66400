"""A call whose request never left is told from one that may have been read."""

import asyncio

from testtools import TestCase

from robinthread._internal.utils.http_call import CallLostError, CallUnsentError, call, make_client
from tests.lib.silent_service import SilentService

TIMEOUT_S = 1.0
BODY = b"{}"


async def ask(client: object, address: str, timeout_s: float = TIMEOUT_S) -> str:
    """Make a call; return how it went."""
    try:
        await call(client, f"http://{address}/", timeout_s=timeout_s, body=BODY)  # type: ignore[arg-type]
    except CallUnsentError:
        return "unsent"
    except CallLostError:
        return "lost"
    return "answered"


class UnsentCallsTest(TestCase):
    def test_call_to_a_port_where_nobody_listens_was_not_sent(self) -> None:
        async def work() -> None:
            async with SilentService() as service:
                address = service.address
            self.assertEqual("unsent", await ask(make_client(4), address))

        asyncio.run(work())

    def test_call_that_was_read_and_not_answered_may_have_been_carried_out(self) -> None:
        async def work() -> None:
            async with SilentService() as service:
                service.answers.clear()
                self.assertEqual("lost", await ask(make_client(4), service.address, 0.2))
                self.assertEqual(1, len(service.requests))

        asyncio.run(work())

    def test_call_on_a_kept_connection_that_ends_may_have_been_carried_out(self) -> None:
        async def work() -> None:
            client = make_client(4)
            async with SilentService() as service:
                self.assertEqual("answered", await ask(client, service.address))
                service.answers.clear()
                asking = asyncio.create_task(ask(client, service.address))
                while len(service.requests) < 2:
                    await asyncio.sleep(0.01)
            # The service has ended with the request read: libcurl tries again by itself, and
            # nobody listens any more.
            self.assertEqual("lost", await asking)

        asyncio.run(work())
