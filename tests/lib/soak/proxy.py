"""A loopback proxy that injects delays, stalls and resets between a process and a service."""

import asyncio
import contextlib
import enum

CHUNK_BYTES = 65_536


class Direction(enum.Enum):
    """A direction of traffic: to the target, or back to the caller."""

    OUT = "out"
    BACK = "back"


class LoopbackProxy:
    """Forwards bytes between callers and ``target``, a host and a port.

    Bytes can be delayed, or held per direction as in a temporary network partition: they arrive
    late and none is lost.  Connections can be reset, and new ones refused.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._open = {direction: asyncio.Event() for direction in Direction}
        self.delay_s = 0.0
        for event in self._open.values():
            event.set()

    @property
    def address(self) -> str:
        """Return the host and port at which callers reach the target."""
        return f"127.0.0.1:{self._port}"

    async def start(self) -> None:
        """Listen; a restart uses the same port as before."""
        if self._server is None:
            self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
            self._port = self._server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Refuse new connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def hold(self, *directions: Direction) -> None:
        """Hold the bytes in these directions, on open and on new connections."""
        for direction in directions:
            self._open[direction].clear()

    def release(self) -> None:
        """Forward the held bytes, and do not hold further ones."""
        for event in self._open.values():
            event.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            # The target is unreachable, so the connection of the caller is aborted.
            writer.transport.abort()
            self._writers.discard(writer)
            return
        self._writers.add(target_writer)
        out = asyncio.create_task(self._pass_on(Direction.OUT, reader, target_writer))
        back = asyncio.create_task(self._pass_on(Direction.BACK, target_reader, writer))
        await asyncio.wait((out, back))
        self._writers -= {writer, target_writer}

    async def _pass_on(
        self, direction: Direction, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # An error on one side closes the other side too, which ends the opposite direction.
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.delay_s)
                await self._open[direction].wait()
                writer.write(data)
                await writer.drain()
        await self._open[direction].wait()
        writer.close()
