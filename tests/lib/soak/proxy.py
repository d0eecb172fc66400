"""A proxy on loopback between a process and what it calls, and what it can do to them."""

import asyncio
import contextlib
import enum

CHUNK_BYTES = 65_536


class Direction(enum.Enum):
    """A direction: to what is called, or back to the caller."""

    OUT = "out"
    BACK = "back"


class LoopbackProxy:
    """Passes bytes between callers and ``target``, a host and a port.

    What goes one way can be delayed, or held as by a cut that may heal: bytes are late then, and
    none is lost.  Connections can be reset, and new ones refused.
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
        """Return where callers reach the target."""
        return f"127.0.0.1:{self._port}"

    async def start(self) -> None:
        """Listen, at the same port as before."""
        if self._server is None:
            self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
            self._port = self._server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Refuse new connections, and reset those that there are."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def hold(self, *directions: Direction) -> None:
        """Hold what goes some ways, on connections that there are and on new ones."""
        for direction in directions:
            self._open[direction].clear()

    def release(self) -> None:
        """Let all that was held go on."""
        for event in self._open.values():
            event.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            # Whoever is called is gone: so is the connection.
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
        # A connection that breaks on one side is broken on the other, which ends the other way.
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(self.delay_s)
                await self._open[direction].wait()
                writer.write(data)
                await writer.drain()
        await self._open[direction].wait()
        writer.close()
