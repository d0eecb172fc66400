"""Callers that use their open connections until whoever they call is gone."""

import asyncio
import json
import random
from dataclasses import dataclass, field
from typing import Any

from tests.lib.soak.node_process import CALLERS_PORT, NodeProcess
from tests.lib.soak.world import QUEUE_HOST, QUEUE_PATH

RESPONSE_TIMEOUT_S = 4.0
POLL_S = 0.5
FINAL = ("succeeded", "failed", "canceled")


class NoResponseError(Exception):
    """Nothing came back, or not in time."""


class TruncatedResponseError(NoResponseError):
    """An answer ended before it was whole."""


class Connection:
    """One connection to a node, for one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, ip: str) -> "Connection":
        """Connect to a node."""
        return cls(*await asyncio.open_connection(ip, CALLERS_PORT))

    def close(self) -> None:
        """Close."""
        self._writer.transport.abort()

    async def call(self, method: str, job_id: str, body: str) -> tuple[int, dict[str, Any]]:
        """Return the status and the body of the answer."""
        lines = (
            f"{method} {QUEUE_PATH}{job_id} HTTP/1.1",
            f"Host: {QUEUE_HOST}",
            f"Content-Length: {len(body)}",
            "",
            body,
        )
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                self._writer.write("\r\n".join(lines).encode())
                return await self._read()
        except (OSError, TimeoutError) as error:
            raise NoResponseError(repr(error)) from error

    async def _read(self) -> tuple[int, dict[str, Any]]:
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as error:
            raise (TruncatedResponseError if error.partial else NoResponseError)(
                "no whole head"
            ) from error
        status = int(head.split()[1])
        fields = dict(line.split(b": ", 1) for line in head.lower().splitlines()[1:] if line)
        try:
            body = await self._reader.readexactly(int(fields[b"content-length"]))
        except asyncio.IncompleteReadError as error:
            raise TruncatedResponseError("no whole body") from error
        return status, json.loads(body) if body else {}


@dataclass
class CallerTracker:
    """What callers were told: accepted jobs, the last state of each, and what must not be."""

    accepted: set[str] = field(default_factory=set)
    states: dict[str, str] = field(default_factory=dict)
    breaks: list[str] = field(default_factory=list)

    def record_state(self, job_id: str, state: str) -> None:
        """Take in a job's state."""
        before = self.states.get(job_id)
        if before in FINAL and state != before:
            self.breaks.append(f"{job_id} was shown as {before}, then as {state}")
        self.states[job_id] = state

    @property
    def open(self) -> list[str]:
        """List accepted jobs that have not been shown as ended."""
        return [job for job in sorted(self.accepted) if self.states.get(job) not in FINAL]


class Caller:
    """Hands jobs in and asks for them, at one node until that is gone, then at another."""

    def __init__(self, nodes: list[NodeProcess], tracker: CallerTracker, seed: int) -> None:
        self._nodes = nodes
        self._tracker = tracker
        self._random = random.Random(seed)
        self._connection: Connection | None = None
        self._node = self._random.choice(nodes)

    async def hand_in(self, job_id: str, body: str) -> None:
        """Hand a job in until a node has accepted it."""
        while (answer := await self._call("POST", job_id, body)) is None or answer[0] != 200:
            await asyncio.sleep(POLL_S)
        self._tracker.accepted.add(job_id)

    async def follow(self, job_id: str) -> None:
        """Ask for a job until it is shown as ended."""
        while self._tracker.states.get(job_id) not in FINAL:
            await asyncio.sleep(POLL_S)
            await self.query(job_id)

    async def query(self, job_id: str) -> None:
        """Ask for a job once."""
        answer = await self._call("GET", job_id, "")
        if answer is not None and answer[0] == 200:
            self._tracker.record_state(job_id, answer[1]["state"])

    async def _call(self, method: str, job_id: str, body: str) -> tuple[int, dict[str, Any]] | None:
        """Return the answer, if there was one; go to another node otherwise."""
        try:
            if self._connection is None:
                self._connection = await Connection.open(self._node.ip)
            return await self._connection.call(method, job_id, body)
        except (OSError, NoResponseError) as error:
            if isinstance(error, TruncatedResponseError) and self._node.is_stopping:
                self._tracker.breaks.append(
                    f"{self._node.name} stopped within an answer to {job_id}"
                )
            if self._connection is not None:
                self._connection.close()
            self._connection, self._node = None, self._random.choice(self._nodes)
            return None
