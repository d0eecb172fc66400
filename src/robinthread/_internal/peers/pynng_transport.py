"""Transport over pynng: one pull socket for all peers, one push socket a peer."""

import asyncio
from typing import Final

import pynng

from robinthread._internal.peers.transport import PeerTransport, TransportClosedError

QUEUE_FRAMES: Final = 4096
SOCKET_BUFFER_FRAMES: Final = 128
RECONNECT_MIN_MS: Final = 50
RECONNECT_MAX_MS: Final = 2000
SEND_TIMEOUT_MS: Final = 2000
LIBRARY_THREADS: Final = 2


_has_limited_threads = False


def _limit_threads() -> None:
    """Keep the library from starting several threads a core; it asks only once."""
    global _has_limited_threads
    if _has_limited_threads:
        return
    for parameter in (
        pynng.lib.NNG_INIT_NUM_TASK_THREADS,
        pynng.lib.NNG_INIT_NUM_EXPIRE_THREADS,
        pynng.lib.NNG_INIT_NUM_POLLER_THREADS,
        pynng.lib.NNG_INIT_NUM_RESOLVER_THREADS,
    ):
        pynng.lib.nng_init_set_parameter(parameter, LIBRARY_THREADS)
    _has_limited_threads = True


class _Peer:
    """A peer's push socket, its queue and the one task that sends."""

    def __init__(self, address: str) -> None:
        self._queue: asyncio.Queue[bytes] = asyncio.Queue(QUEUE_FRAMES)
        self._socket = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
            send_buffer_size=SOCKET_BUFFER_FRAMES,
        )
        self._socket.dial(address, block=False)
        self._task = asyncio.get_running_loop().create_task(self._send_queued())

    def put(self, data: bytes) -> None:
        """Queue a frame; drop it where the queue is full."""
        if not self._queue.full():
            self._queue.put_nowait(data)

    def close(self) -> None:
        """End the task and the socket."""
        self._task.cancel()
        self._socket.close()

    async def _send_queued(self) -> None:
        while True:
            data = await self._queue.get()
            try:
                await self._socket.asend(data)
            except pynng.exceptions.Timeout:
                continue
            except pynng.exceptions.NNGException:
                return


def make_pynng_transport(listen_address: str) -> PeerTransport:
    """Listen on ``listen_address``, such as ``tcp://127.0.0.1:7101``; port 0 picks one."""
    _limit_threads()
    pull = pynng.Pull0(recv_buffer_size=SOCKET_BUFFER_FRAMES)
    pull.listen(listen_address)
    address = f"tcp://{pull.listeners[0].local_address}"
    peers: dict[str, _Peer] = {}

    def send(peer_address: str, data: bytes) -> None:
        if peer_address not in peers:
            peers[peer_address] = _Peer(peer_address)
        peers[peer_address].put(data)

    async def receive() -> bytes:
        try:
            return await pull.arecv()
        except pynng.exceptions.Closed as error:
            raise TransportClosedError from error

    def close() -> None:
        for peer in peers.values():
            peer.close()
        pull.close()

    return PeerTransport(address, send, receive, close)
