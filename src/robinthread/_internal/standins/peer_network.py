"""Stand-in for the network between daemons: delay, partitions, duplicates, reordering."""

import asyncio
import random
from collections.abc import Callable

from robinthread._internal.peers.transport import PeerTransport
from robinthread._internal.standins.gate import Gate


class PeerNetwork:
    """Delivers frames between daemons in one process, timed by the running loop's clock.

    ``can_reach(from_address, to_address)`` models network partitions.  ``delay_s`` is the
    mean one-way delay; the delay of each frame is drawn between 0.5 and 1.5 times this
    value, so frames overtake each other.  A share ``lost_share`` of the frames is lost, and
    a share ``repeated_share`` is delivered twice.
    """

    def __init__(self, seed: int, delay_s: float) -> None:
        self.can_reach: Callable[[str, str], bool] = lambda source, target: True
        self.repeated_share = 0.0
        self.lost_share = 0.0
        self.frames_count = 0
        self.bytes_count = 0
        self._random = random.Random(seed)
        self._delay_s = delay_s
        self._inboxes: dict[str, asyncio.Queue[bytes]] = {}

    def make_transport(self, address: str, gate: Gate) -> PeerTransport:
        """Make the transport of the daemon at ``address``; ``gate`` models its pauses."""
        inbox: asyncio.Queue[bytes] = asyncio.Queue()
        self._inboxes[address] = inbox

        def send(target: str, data: bytes) -> None:
            gate.send_when_open(lambda: self._send(address, target, data))

        async def receive() -> bytes:
            data = await inbox.get()
            await gate.wait()
            return data

        def close() -> None:
            self._inboxes.pop(address, None)

        return PeerTransport(address, send, receive, close)

    def _send(self, source: str, target: str, data: bytes) -> None:
        self.frames_count += 1
        self.bytes_count += len(data)
        if self._random.random() < self.lost_share:
            return
        copies = 2 if self._random.random() < self.repeated_share else 1
        for _ in range(copies):
            delay_s = self._delay_s * (0.5 + self._random.random())
            asyncio.get_running_loop().call_later(delay_s, self._deliver, source, target, data)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        inbox = self._inboxes.get(target)
        if inbox is not None and self.can_reach(source, target):
            inbox.put_nowait(data)
