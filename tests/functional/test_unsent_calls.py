"""Calls whose request was never sent are distinguished from those that may have been read."""

import asyncio
import contextlib
import socket

from testtools import TestCase

from robinthread._internal.utils.http_call import (
    CallLostError,
    CallTimedOutError,
    CallUnsentError,
    NobodyListensError,
    call,
    make_client,
)
from tests.lib.silent_service import SilentService

TIMEOUT_S = 1.0
BODY = b"{}"
# More connections than a listen queue of length 0 holds.
QUEUE_FILLERS = 4
# The operating system rejects a connection to this address at once and sends no packet.
UNREACHABLE_ADDRESS = "255.255.255.255:9"


async def send(client: object, address: str, timeout_s: float = TIMEOUT_S) -> str:
    """Make a call; return its outcome as text."""
    try:
        await call(client, f"http://{address}/", timeout_s=timeout_s, body=BODY)  # type: ignore[arg-type]
    except NobodyListensError:
        return "refused"
    except CallUnsentError:
        return "unsent"
    except CallTimedOutError:
        return "timed out"
    except CallLostError:
        return "lost"
    return "answered"


class UnsentCallsTest(TestCase):
    def test_call_to_a_closed_port_is_refused(self) -> None:
        async def work() -> None:
            async with SilentService() as service:
                address = service.address
            self.assertEqual("refused", await send(make_client(4), address))

        asyncio.run(work())

    def test_results_of_concurrent_calls_are_not_mixed_up(self) -> None:
        """There are more calls than handles of the client, so each handle carries several."""

        async def work() -> None:
            client = make_client(2)
            async with SilentService() as ended:
                address = ended.address
            async with SilentService() as service:
                calls = [send(client, to) for _ in range(8) for to in (address, service.address)]
                self.assertEqual(["refused", "answered"] * 8, await asyncio.gather(*calls))

        asyncio.run(work())

    def test_unreachable_address_does_not_count_as_refused(self) -> None:
        async def work() -> None:
            self.assertEqual("unsent", await send(make_client(4), UNREACHABLE_ADDRESS))

        asyncio.run(work())

    def test_connection_that_times_out_does_not_count_as_refused(self) -> None:
        """A full listen queue drops the packets that open another connection."""

        async def work() -> None:
            with contextlib.ExitStack() as stack:
                listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=0))
                for _ in range(QUEUE_FILLERS):
                    filler = stack.enter_context(socket.socket())
                    filler.setblocking(False)
                    filler.connect_ex(listener.getsockname())
                address = f"127.0.0.1:{listener.getsockname()[1]}"
                self.assertEqual("unsent", await send(make_client(4), address, 0.3))

        asyncio.run(work())

    def test_call_read_without_response_may_have_been_executed(self) -> None:
        async def work() -> None:
            async with SilentService() as service:
                service.answers.clear()
                self.assertEqual("timed out", await send(make_client(4), service.address, 0.2))
                self.assertEqual(1, len(service.requests))

        asyncio.run(work())

    def test_call_on_a_keep_alive_connection_that_ends_may_have_been_executed(self) -> None:
        async def work() -> None:
            client = make_client(4)
            async with SilentService() as service:
                self.assertEqual("answered", await send(client, service.address))
                service.answers.clear()
                pending = asyncio.create_task(send(client, service.address))
                while len(service.requests) < 2:
                    await asyncio.sleep(0.01)
            # The service has ended after it read the request.  libcurl retries by itself, and the
            # port is closed by then.
            self.assertEqual("lost", await pending)

        asyncio.run(work())
