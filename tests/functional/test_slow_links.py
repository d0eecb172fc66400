"""The timeout of store calls grows while connections over a slow link can't be established."""

import asyncio
import socket

from testtools import TestCase

from robinthread._internal.durable.errors import StoreError
from robinthread._internal.durable.store import Partition
from robinthread._internal.platform.store import CALL_TIMEOUT_MIN_S, PlatformStore
from robinthread._internal.telemetry.node_metrics import NodeMetrics
from robinthread._internal.utils.http_call import make_client

TRIES = 4


class SlowConnectTest(TestCase):
    def test_timeout_grows_while_no_connection_is_established(self) -> None:
        async def work() -> None:
            listener = socket.socket()
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            host, port = listener.getsockname()
            # The backlog is full: further connection attempts get no reply, as on a congested link.
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex((host, port))
            await asyncio.sleep(0.1)
            store = PlatformStore(make_client(4), f"{host}:{port}", NodeMetrics())
            for _ in range(TRIES):
                try:
                    await store.read(Partition("keyed.owners"), 0, 0)
                except StoreError:
                    continue
            self.assertGreater(store._timeout.seconds, CALL_TIMEOUT_MIN_S)
            for each in (*fillers, listener):
                each.close()

        asyncio.run(work())
