"""Claim requests of a daemon, and the partitions of claims that it owns."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final

from robinthread._internal.claims.append_pacer import AppendPacer
from robinthread._internal.claims.claim import Claim, get_partition
from robinthread._internal.claims.partition_owner import PartitionOwner, make_claim_refusal
from robinthread._internal.models.daemon_member import DaemonMember
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.peers.messages import (
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    HolderRequest,
)
from robinthread._internal.peers.router import PeerRouter, PeerTimeoutError, Sender
from robinthread._internal.platform_log.service import LogService
from robinthread._internal.results import ResultCode
from robinthread._internal.settings.claim_settings import ClaimSettings
from robinthread._internal.telemetry.counters import Counters
from robinthread._internal.utils.rendezvous import pick_by_rendezvous

RETRY_DELAY_S: Final = 0.1
RESTART_DELAY_S: Final = 0.2


@dataclass(frozen=True)
class ClaimContext:
    """Dependencies that the claim service gets from its daemon."""

    name: str
    hall: str
    get_incarnation: Callable[[], str]
    get_state: Callable[[], FleetState]
    is_reachable: Callable[[DaemonMember], bool]
    make_id: Callable[[], str]
    wall_clock: Callable[[], float]


class ClaimService:
    """Own the partitions assigned to this daemon; request claims from any partition's owner."""

    def __init__(
        self,
        context: ClaimContext,
        settings: ClaimSettings,
        log: LogService,
        router: PeerRouter,
        counters: Counters,
    ) -> None:
        self._context = context
        self._settings = settings
        self._log = log
        self._router = router
        self._counters = counters
        self._owners: dict[int, PartitionOwner] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._is_closed = False
        self._pacer = AppendPacer(self._get_rate_per_s)
        self._assignment: tuple[frozenset[str], dict[int, str]] = (frozenset(), {})
        router.on(ClaimRequest, self._on_claim_request)
        router.on(HolderRequest, self._on_holder_request)
        router.on_notice(ClaimRelease, self._on_release)

    async def request_claim(self, claim: Claim, timeout_s: float) -> ClaimReply:
        """Request a claim from the owner of the key's partition.

        Any code but ``OK`` means that the claim is not confirmed for ``claim.holder``.
        ``CLAIM_OWNER_UNREACHABLE`` is returned if no owner replied in ``timeout_s``.
        """
        request = ClaimRequest(
            claim.key,
            claim.digest,
            claim.expires_at_s,
            claim.holder,
            claim.incarnation,
            claim.claim_id,
        )
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + timeout_s
        while (left_s := ends_at_s - loop.time()) > 0:
            owner = self._find_owner(claim.key)
            if owner is None or not self._context.is_reachable(owner):
                break
            reply = await self._request_once(owner, request, left_s)
            if reply.code != ResultCode.CLAIM_OWNER_UNREACHABLE:
                return reply
            # A partition gets another owner when daemons join or leave, and the
            # new owner must read the stream before it grants claims.
            await asyncio.sleep(RETRY_DELAY_S)
        return make_claim_refusal(ResultCode.CLAIM_OWNER_UNREACHABLE)

    def release(self, claim: Claim) -> None:
        """Notify the partition's owner that the claimed request did not and will not run."""
        owner = self._find_owner(claim.key)
        if owner is not None:
            message = ClaimRelease(claim.key, claim.holder, claim.incarnation, claim.claim_id)
            self._router.send_notice(owner.peer_address, message)

    async def find_holder(self, key: bytes) -> DaemonMember | None:
        """Return the daemon that holds the claim on ``key``.

        None means that the key is not claimed, that its holder has left or restarted,
        or that no owner of the partition replied.
        """
        owner = self._find_owner(key)
        if owner is None:
            return None
        try:
            reply = await self._router.send_request(
                owner.peer_address, HolderRequest(key), self._settings.claim_timeout_s
            )
        except PeerTimeoutError:
            return None
        assert isinstance(reply, ClaimReply)
        member = self._context.get_state().daemons.get(reply.holder)
        return member if member and member.incarnation == reply.incarnation else None

    def update_owned_partitions(self) -> None:
        """Acquire the partitions assigned to this daemon, and stop owning the others.

        Called when members change.
        """
        if self._is_closed:
            return
        assignment = self._get_assignment()
        for partition in range(self._settings.claim_partitions):
            is_ours = assignment.get(partition) == self._context.name
            owner = self._owners.get(partition)
            task = self._tasks.get(partition)
            if is_ours and (owner is None or task is None or task.done()):
                self._start_owner(partition)
            elif not is_ours and task is not None and not task.done():
                # If this daemon's acquisition landed late, it would take the partition
                # away from the daemon that it is assigned to.
                task.cancel()

    def count_held(self) -> int:
        """Return the number of claims in this daemon's tables."""
        return sum(len(owner.table) for owner in self._owners.values())

    def close(self) -> None:
        """Stop owning partitions."""
        self._is_closed = True
        for task in self._tasks.values():
            task.cancel()

    def _start_owner(self, partition: int) -> None:
        settings = self._settings
        owner = PartitionOwner(
            partition,
            self._log,
            self._context.name,
            self._context.get_incarnation(),
            self._context.make_id,
            self._context.wall_clock,
            self._pacer,
            settings.clock_skew_s,
            settings.claims_max // settings.claim_partitions,
            self._counters,
        )
        self._owners[partition] = owner
        task = asyncio.get_running_loop().create_task(owner.run())
        self._tasks[partition] = task
        task.add_done_callback(self._schedule_restart)

    def _schedule_restart(self, task: asyncio.Task[None]) -> None:
        """Acquire the partition again after ``RESTART_DELAY_S`` if it is still assigned here."""
        if not task.cancelled() and not self._is_closed:
            asyncio.get_running_loop().call_later(RESTART_DELAY_S, self.update_owned_partitions)

    def _get_rate_per_s(self) -> float:
        owned = sum(owner.is_owner for owner in self._owners.values())
        share = max(1, owned) / self._settings.claim_partitions
        return self._settings.claim_appends_per_s * share

    def _find_owner(self, key: bytes) -> DaemonMember | None:
        partition = get_partition(key, self._settings.claim_partitions)
        return self._context.get_state().daemons.get(self._get_assignment().get(partition, ""))

    def _get_assignment(self) -> dict[int, str]:
        state = self._context.get_state()
        names = frozenset(_iter_eligible(state))
        if self._assignment[0] != names:
            self._assignment = (names, assign_partitions(names, self._settings.claim_partitions))
        return self._assignment[1]

    async def _request_once(
        self, owner: DaemonMember, request: ClaimRequest, timeout_s: float
    ) -> ClaimReply:
        try:
            reply = await self._router.send_request(owner.peer_address, request, timeout_s)
        except PeerTimeoutError:
            return make_claim_refusal(ResultCode.CLAIM_OWNER_UNREACHABLE)
        assert isinstance(reply, ClaimReply)
        return reply

    async def _on_claim_request(self, sender: Sender, request: ClaimRequest) -> ClaimReply:
        owner = self._owners.get(get_partition(request.key, self._settings.claim_partitions))
        if owner is None:
            return make_claim_refusal(ResultCode.CLAIM_OWNER_UNREACHABLE)
        return await owner.claim(
            Claim(
                request.key,
                request.digest,
                request.expires_at_s,
                request.holder,
                request.incarnation,
                request.claim_id,
            )
        )

    async def _on_holder_request(self, sender: Sender, request: HolderRequest) -> ClaimReply:
        owner = self._owners.get(get_partition(request.key, self._settings.claim_partitions))
        held = owner.table.get(request.key) if owner else None
        if held is None:
            return ClaimReply(ResultCode.NOT_FOUND)
        return ClaimReply(ResultCode.OK, held.holder, held.incarnation)

    def _on_release(self, sender: Sender, release: ClaimRelease) -> None:
        owner = self._owners.get(get_partition(release.key, self._settings.claim_partitions))
        if owner is not None:
            owner.release(release.key, release.holder, release.incarnation, release.claim_id)


def _iter_eligible(state: FleetState) -> Iterable[str]:
    in_connected_halls = [m.name for m in state.daemons.values() if m.hall not in state.cut_halls]
    return in_connected_halls or list(state.daemons)


def assign_partitions(names: Iterable[str], partitions: int) -> dict[int, str]:
    """Map each partition number to the name of the daemon that is to own it."""
    ordered = sorted(names)
    return {
        partition: pick_by_rendezvous(f"claims-{partition}", ordered)
        for partition in range(partitions)
    }
