"""The daemon, of which each entry host runs one."""

import asyncio
from functools import partial
from typing import Final

from absl import logging
from returns.result import Result, Success

from robinthread._internal.daemon.environment import Environment
from robinthread._internal.daemon.host_list_task import follow_host_list
from robinthread._internal.daemon.keep_running import MakeWork, keep_running
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
from robinthread._internal.peers.messages import ImageReply, ImageRequest
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
JOIN_RETRY_S: Final = 0.5
START_RETRY_S: Final = 0.5
SUBJECT_FIELDS: Final = ("host", "name", "team", "hall")


class Daemon:
    """The services of one entry host and the tasks that run them.

    ``is_halted`` turns true permanently once the digest of this daemon's state differs
    from those of most peers.  ``is_stopping`` is true from the start of a planned stop.
    """

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
        self._last_applied_state = FleetState()
        self._peer_digests: dict[str, tuple[int, str]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self.follower.watch(self._on_folded)
        self.router.on(ImageRequest, self._on_image_request)

    @property
    def state(self) -> FleetState:
        """Return the fleet state after all log records applied so far."""
        return self.follower.state

    @property
    def is_ready(self) -> bool:
        """Return whether the daemon accepts requests from callers."""
        return self.follower.is_ready and not self.is_halted and not self.is_stopping

    @property
    def is_fresh(self) -> bool:
        """Return whether the follower is ready and read the log within ``freshness_limit_s``."""
        limit_s = self.settings.platform.freshness_limit_s
        return self.follower.is_ready and self.follower.get_lag_s() < limit_s

    async def start(self) -> None:
        """Start all tasks and return once the follower is ready.

        Joining the fleet continues in the background; see ``wait_until_member``.
        """
        self._start_task(self.router.run)
        await self._catch_up()
        self._start_task(self._follow)
        self._start_task(self.publisher.run)
        while not self.follower.is_ready:
            await asyncio.sleep(START_RETRY_S / 10)
        self._start_task(self.presence.run)
        self._start_task(self.steward.run)
        self._start_task(partial(follow_host_list, self))
        self._start_task(self._write_snapshots)
        self._ensure_joined()
        trim_memory()
        logging.info("daemon %s ready at offset %d", self.settings.name, self.state.next_offset)

    async def wait_until_member(self) -> None:
        """Wait until the record that this daemon joined has been applied."""
        while not self.is_member:
            await asyncio.sleep(START_RETRY_S / 10)

    @property
    def is_member(self) -> bool:
        """Return whether this incarnation is a member of the fleet."""
        member = self.state.daemons.get(self.settings.name)
        return member is not None and member.incarnation == self.incarnation

    async def stop(self) -> None:
        """Stop as planned: let accepted requests finish, then leave the fleet.

        The daemon first reports itself as not ready and waits ``balancer_grace_s`` so that
        load balancers stop routing to it.  It then rejects new requests, finishes accepted
        ones for up to ``finish_timeout_s``, publishes that it leaves, which hands its partitions
        over, and notifies its peers.
        """
        stop = self.settings.stop
        self.is_stopping = True
        logging.info("daemon %s: planned stop begins", self.settings.name)
        self.events.record("stopping", self.settings.name)
        await asyncio.sleep(stop.balancer_grace_s)
        self.entry.is_stopping = True
        try:
            await asyncio.wait_for(self.entry.wait_until_idle(), stop.finish_timeout_s)
        except TimeoutError:
            self.counters.add("stops_cut_short")
        await self.publish(DaemonLeft(self.settings.name, self.incarnation))
        self.presence.send_goodbyes()
        await asyncio.sleep(stop.farewell_s)
        self.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def close(self) -> None:
        """Cancel all tasks at once, without leaving the fleet, as in a crash."""
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
        """Append a record to the fleet stream and wait until it has been applied here."""
        return await self.publisher.publish(body, timeout_s, record_id)

    async def publish_ignoring_result(self, body: object) -> None:
        """Publish a record for a caller that reads the outcome from the fleet state."""
        await self.publish(body)

    def _start_task(self, make_work: MakeWork) -> None:
        work = keep_running(self.settings.name, make_work, self.counters)
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    def make_id(self) -> str:
        """Return an id that is unique among records, leases and claim batches."""
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
        """Load the newest snapshot, or peers' images if the log cannot be read.

        ``is_ready`` is reset after a snapshot because the records that follow it still have to
        be applied.  It stays true after a peer's image, so that the daemon can serve while the
        log is unavailable.
        """
        try:
            snapshot = await read_newest_snapshot(self.environment.log)
            if snapshot is not None:
                self.follower.load_image(snapshot.image)
                self.follower.is_ready = False
            trim_memory()
            return
        except (LogUnavailableError, LogReplyLostError):
            self.counters.add("snapshot_reads_failed")
        await self._request_images()

    async def _request_images(self) -> None:
        for address in self.settings.peer_seeds:
            try:
                reply = await self.router.send_request(
                    address, ImageRequest(), self.settings.peers.ask_timeout_s
                )
            except PeerTimeoutError:
                continue
            assert isinstance(reply, ImageReply)
            snapshot = decode_snapshot(reply.data) if reply.data else None
            if snapshot is not None:
                self.follower.load_image(snapshot.image)

    async def _on_image_request(self, sender: Sender, request: ImageRequest) -> ImageReply:
        if not self.follower.is_ready or self.is_halted:
            return ImageReply(b"")
        return ImageReply(encode_snapshot(self.follower.folder.make_image()))

    def _on_folded(self, folded: tuple[FoldedRecord, ...]) -> None:
        for record in folded:
            self.publisher.settle(record)
        if not self.follower.is_ready:
            return
        for record in folded:
            self._record_event(record)
        self.measures.record_state(self.state)
        self._update_services()
        if not self.is_member and not self.is_stopping:
            self._ensure_joined()

    def _update_services(self) -> None:
        """Update claims and dispatchers after changes of the daemons, cut halls or hosts."""
        before, self._last_applied_state = self._last_applied_state, self.state
        if before.daemons is not self.state.daemons or before.cut_halls != self.state.cut_halls:
            self.claims.update_owned_partitions()
        elif before.hosts is self.state.hosts:
            return
        self.dispatch.update_dispatchers()

    def _record_event(self, record: FoldedRecord) -> None:
        if record.code is not ResultCode.OK:
            self.counters.add("records_void")
            return
        subjects = (getattr(record.body, field, "") for field in SUBJECT_FIELDS)
        self.events.record(
            record.kind, next(filter(None, subjects), ""), getattr(record.body, "wave", "")
        )

    def get_digest(self) -> tuple[int, str]:
        """Return the offset and the digest of the state at the last comparison point."""
        return self.follower.digest

    def check_digest(self, name: str, offset: int, digest: str) -> None:
        """Compare a peer's digest with ours and halt if more daemons differ than agree.

        Ours counts as agreeing.  The majority rule makes a single daemon with a wrong state
        halt itself and not the others.
        """
        self._peer_digests[name] = (offset, digest)
        own_offset, own_digest = self.follower.digest
        if offset != own_offset or not digest:
            return
        others = [
            peer_digest
            for peer_offset, peer_digest in self._peer_digests.values()
            if peer_offset == own_offset
        ]
        differing_count = sum(other != own_digest for other in others)
        if digest != own_digest:
            self.counters.add("digests_differ")
        if differing_count > 1 + len(others) - differing_count and not self.is_halted:
            logging.error(
                "state digest at offset %d differs from those of most peers; halting", offset
            )
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
                await asyncio.sleep(JOIN_RETRY_S)

    async def _write_snapshots(self) -> None:
        """Write a snapshot every ``snapshot_every_records`` if this daemon is chosen for it.

        All daemons choose the same writer by rendezvous hashing over the members.
        """
        records_per_snapshot = self.settings.platform.snapshot_every_records
        while True:
            await asyncio.sleep(START_RETRY_S)
            snapshot_number = self.state.next_offset // records_per_snapshot
            writer = pick_by_rendezvous(f"snapshot-{snapshot_number}", self.state.daemons)
            if (
                snapshot_number == self._snapshot_offset // records_per_snapshot
                or writer != self.settings.name
            ):
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
        """Return whether this daemon polls the host list on behalf of its data hall."""
        return self.dispatch.get_dispatching_daemon("", self.settings.hall) == self.settings.name
