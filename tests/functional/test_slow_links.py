"""A store that is reached over a link on which connecting takes long."""

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
    def test_time_to_connect_grows_while_no_connection_comes_about(self) -> None:
        async def work() -> None:
            listener = socket.socket()
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            host, port = listener.getsockname()
            # Its queue is full: further connections get no answer, as on a link that is choked.
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
