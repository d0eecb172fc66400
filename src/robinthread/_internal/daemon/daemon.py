"""The daemon: one of a kind on every entry host."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final

from absl import logging
from returns.result import Result, Success

from robinthread._internal.daemon.environment import Environment
from robinthread._internal.daemon.host_list_task import follow_host_list
from robinthread._internal.daemon.wiring import (
    make_claims,
    make_dispatch,
    make_entry,
    make_presence,
    make_steward,
)
from robinthread._internal.fold.folder import FoldedRecord
from robinthread._internal.fold.kinds.daemon_joined import DaemonJoined
from robinthread._internal.fold.kinds.daemon_left import DaemonLeft
from robinthread._internal.follow.follower import Follower, LogTruncatedError
from robinthread._internal.follow.publisher import Author, Publisher
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.peers.messages import ImageAsk, ImageReply
from robinthread._internal.peers.router import PeerRouter, PeerTimeoutError, Sender
from robinthread._internal.platform_log.errors import LogReplyLostError, LogUnavailableError
from robinthread._internal.results import Fault, ResultCode
from robinthread._internal.settings.daemon_settings import DaemonSettings
from robinthread._internal.snapshots.snapshot import decode_snapshot, encode_snapshot
from robinthread._internal.snapshots.store import read_newest_snapshot, write_snapshot
from robinthread._internal.timeline.event_ring import EventRing
from robinthread._internal.timeline.hybrid_clock import HybridClock
from robinthread._internal.utils.memory import trim_memory
from robinthread._internal.utils.rendezvous import pick_by_rendezvous
from robinthread._internal.waves.measures import WaveMeasures

ID_BITS: Final = 64
FRAME_ID_BITS: Final = 40
PUBLISH_TIMEOUT_S: Final = 5.0
REJOIN_S: Final = 0.5
START_RETRY_S: Final = 0.5
SUBJECT_FIELDS: Final = ("host", "name", "team", "hall")


class Daemon:
    """Everything that runs on one entry host, wired together."""

    def __init__(self, settings: DaemonSettings, environment: Environment) -> None:
        self.settings = settings
        self.environment = environment
        self.incarnation = f"{environment.random.getrandbits(ID_BITS):016x}"
        self.is_halted = False
        self.is_stopping = False
        self.counters = environment.counters
        clock = HybridClock(environment.wall_clock)
        self.events = EventRing(settings.name, settings.hall, clock, settings.events_max)
        self.follower = Follower(
            environment.log, self.counters, settings.peers.digest_every_records
        )
        self.events.get_next_offset = lambda: self.state.next_offset
        self.router = PeerRouter(
            settings.name,
            environment.peers,
            clock,
            self.counters,
            environment.random.getrandbits(FRAME_ID_BITS) + 1,
        )
        self.publisher = Publisher(
            environment.log,
            Author(settings.name, self.incarnation),
            lambda: self.state.next_offset,
            lambda record_id: self.follower.folder.get_outcome(record_id),
            self.make_id,
            self.counters,
        )
        self.measures = WaveMeasures()
        self.presence = make_presence(self)
        self.claims = make_claims(self)
        self.dispatch = make_dispatch(self)
        self.entry = make_entry(self)
        self.steward = make_steward(self)
        self._join_task: asyncio.Task[None] | None = None
        self._snapshot_offset = 0
        self._adopted = FleetState()
        self._peer_digests: dict[str, tuple[int, str]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self.follower.watch(self._on_folded)
        self.router.on(ImageAsk, self._on_image_ask)

    @property
    def state(self) -> FleetState:
        """Return the fleet state folded so far."""
        return self.follower.state

    @property
    def is_ready(self) -> bool:
        """Tell whether callers' requests are taken."""
        return self.follower.is_ready and not self.is_halted and not self.is_stopping

    @property
    def is_fresh(self) -> bool:
        """Tell whether the log was heard of late."""
        limit_s = self.settings.platform.freshness_limit_s
        return self.follower.is_ready and self.follower.get_lag_s() < limit_s

    async def start(self) -> None:
        """Start all tasks; return once the daemon is ready and a member."""
        self._start_task(self.router.run())
        await self._catch_up()
        self._start_task(self._follow())
        self._start_task(self.publisher.run())
        while not self.follower.is_ready:
            await asyncio.sleep(START_RETRY_S / 10)
        self._start_task(self.presence.run())
        self._start_task(self.steward.run())
        self._start_task(follow_host_list(self))
        self._start_task(self._write_snapshots())
        self._ensure_joined()
        trim_memory()
        logging.info("daemon %s ready at offset %d", self.settings.name, self.state.next_offset)

    async def wait_until_member(self) -> None:
        """Wait until the joining record is folded."""
        while not self.is_member:
            await asyncio.sleep(START_RETRY_S / 10)

    @property
    def is_member(self) -> bool:
        """Tell whether this incarnation is a member of the fleet."""
        member = self.state.daemons.get(self.settings.name)
        return member is not None and member.incarnation == self.incarnation

    async def stop(self) -> None:
        """Stop as planned: not ready, wait, finish what was accepted, hand over, leave."""
        stop = self.settings.stop
        self.is_stopping = True
        logging.info("daemon %s stops", self.settings.name)
        self.events.record("stopping", self.settings.name)
        await asyncio.sleep(stop.balancer_grace_s)
        self.entry.is_stopping = True
        try:
            await asyncio.wait_for(self.entry.wait_until_idle(), stop.finish_timeout_s)
        except TimeoutError:
            self.counters.add("stops_cut_short")
        await self.publish(DaemonLeft(self.settings.name, self.incarnation))
        self.presence.say_goodbye()
        await asyncio.sleep(stop.farewell_s)
        self.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def close(self) -> None:
        """End at once, as a crash would."""
        self.dispatch.close()
        self.steward.close()
        self.claims.close()
        if self._join_task is not None:
            self._join_task.cancel()
        for task in self._tasks:
            task.cancel()
        self.router.close()

    async def publish(
        self, body: object, record_id: str = "", timeout_s: float = PUBLISH_TIMEOUT_S
    ) -> Result[FoldedRecord, Fault]:
        """Publish a record in the fleet stream."""
        return await self.publisher.publish(body, timeout_s, record_id)

    async def publish_quietly(self, body: object) -> None:
        """Publish a record whose outcome the log will tell anyway."""
        await self.publish(body)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    def make_id(self) -> str:
        """Return an id that no other record, lease or claim batch has."""
        return f"{self.environment.random.getrandbits(ID_BITS):016x}"

    async def _follow(self) -> None:
        while True:
            try:
                await self.follower.run()
            except LogTruncatedError as error:
                logging.warning("%s; catching up from a snapshot", error)
                await self._catch_up()
                await asyncio.sleep(START_RETRY_S)

    async def _catch_up(self) -> None:
        """Start from the newest snapshot, or with the platform out from a peer."""
        try:
            snapshot = await read_newest_snapshot(self.environment.log)
            if snapshot is not None:
                self.follower.take_image(snapshot.image)
                self.follower.is_ready = False
            trim_memory()
            return
        except (LogUnavailableError, LogReplyLostError):
            self.counters.add("snapshot_reads_failed")
        await self._ask_images()

    async def _ask_images(self) -> None:
        for address in self.settings.peer_seeds:
            try:
                reply = await self.router.ask(
                    address, ImageAsk(), self.settings.peers.ask_timeout_s
                )
            except PeerTimeoutError:
                continue
            assert isinstance(reply, ImageReply)
            snapshot = decode_snapshot(reply.data) if reply.data else None
            if snapshot is not None:
                self.follower.take_image(snapshot.image)

    async def _on_image_ask(self, sender: Sender, ask: ImageAsk) -> ImageReply:
        if not self.follower.is_ready or self.is_halted:
            return ImageReply(b"")
        return ImageReply(encode_snapshot(self.follower.folder.make_image()))

    def _on_folded(self, folded: tuple[FoldedRecord, ...]) -> None:
        for record in folded:
            self.publisher.settle(record)
        if not self.follower.is_ready:
            return
        for record in folded:
            self._note_folded(record)
        self.measures.record_state(self.state)
        self._adopt_changes()
        if not self.is_member and not self.is_stopping:
            self._ensure_joined()

    def _adopt_changes(self) -> None:
        """Take up turns and hosts, unless the change was to something else."""
        before, self._adopted = self._adopted, self.state
        if before.daemons is not self.state.daemons or before.cut_halls != self.state.cut_halls:
            self.claims.update_owned_partitions()
        elif before.hosts is self.state.hosts:
            return
        self.dispatch.update_dispatchers()

    def _note_folded(self, record: FoldedRecord) -> None:
        if record.code is not ResultCode.OK:
            self.counters.add("records_void")
            return
        subjects = (getattr(record.body, field, "") for field in SUBJECT_FIELDS)
        self.events.record(
            record.kind, next(filter(None, subjects), ""), getattr(record.body, "wave", "")
        )

    def get_digest(self) -> tuple[int, str]:
        """Return the last digest and the offset that it stands for."""
        return self.follower.digest

    def check_digest(self, name: str, offset: int, digest: str) -> None:
        """Compare a peer's digest with ours; stop acting where more differ than agree.

        A single daemon that folds wrongly so stops itself and not the others.
        """
        self._peer_digests[name] = (offset, digest)
        own_offset, own_digest = self.follower.digest
        if offset != own_offset or not digest:
            return
        others = [found for at, found in self._peer_digests.values() if at == own_offset]
        differing = sum(found != own_digest for found in others)
        if digest != own_digest:
            self.counters.add("digests_differ")
        if differing > 1 + len(others) - differing and not self.is_halted:
            logging.error("digest at %d differs from most peers': no longer acting", offset)
            self.is_halted = True
            self.events.record("digest_differs", name, str(offset))

    def _ensure_joined(self) -> None:
        if self._join_task is None or self._join_task.done():
            self._join_task = asyncio.get_running_loop().create_task(self._join())

    async def _join(self) -> None:
        while not self.is_member and not self.is_stopping:
            joined = DaemonJoined(
                self.settings.name,
                self.incarnation,
                self.settings.hall,
                self.router.address,
                self.environment.operator_address,
            )
            result = await self.publish(joined)
            if not isinstance(result, Success):
                await asyncio.sleep(REJOIN_S)

    async def _write_snapshots(self) -> None:
        """Write a snapshot each time it is this daemon's turn."""
        every = self.settings.platform.snapshot_every_records
        while True:
            await asyncio.sleep(START_RETRY_S)
            number = self.state.next_offset // every
            turn = pick_by_rendezvous(f"snapshot-{number}", self.state.daemons)
            if number == self._snapshot_offset // every or turn != self.settings.name:
                continue
            try:
                size = await write_snapshot(self.environment.log, self.follower.folder.make_image())
            except (LogUnavailableError, LogReplyLostError):
                self.counters.add("snapshot_writes_failed")
                continue
            trim_memory()
            self._snapshot_offset = self.state.next_offset
            self.counters.add("snapshots_written")
            self.counters.add("snapshot_bytes", size)

    def is_hall_lead(self) -> bool:
        """Tell whether this daemon follows the host list for its data hall."""
        return self.dispatch.get_dispatching_daemon("", self.settings.hall) == self.settings.name
