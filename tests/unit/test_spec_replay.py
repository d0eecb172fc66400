"""Replays counterexamples of the specification, each without one guard, against the code."""

import asyncio
import itertools
import re

import msgspec
from spec.budget import make_budget
from spec.check import find_counterexample
from spec.claims import make_claims
from spec.membership import make_halls, make_membership
from testtools import TestCase

from robinthread._internal.claims.append_pacer import AppendPacer
from robinthread._internal.claims.claim import Claim
from robinthread._internal.claims.partition_owner import PartitionOwner
from robinthread._internal.fold.envelope import Envelope, encode_batch
from robinthread._internal.fold.folder import FoldedRecord, Folder
from robinthread._internal.fold.kinds.daemon_joined import DaemonJoined
from robinthread._internal.fold.kinds.drain_permitted import DrainPermitted
from robinthread._internal.fold.kinds.drain_started import DrainStarted
from robinthread._internal.fold.kinds.hall_cut import HallCut
from robinthread._internal.fold.kinds.hall_healed import HallHealed
from robinthread._internal.fold.kinds.host_arrived import HostArrived
from robinthread._internal.fold.kinds.host_assigned import HostAssigned
from robinthread._internal.fold.kinds.host_drained import HostDrained
from robinthread._internal.fold.kinds.host_failed import HostFailed
from robinthread._internal.fold.kinds.host_recovered import HostRecovered
from robinthread._internal.fold.kinds.host_returned import HostReturned
from robinthread._internal.fold.kinds.pool_created import PoolCreated
from robinthread._internal.fold.kinds.wave_created import WaveCreated
from robinthread._internal.fold.registry import KIND_OF_TYPE
from robinthread._internal.models.budget import Budget
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.models.wave import WaveKind
from robinthread._internal.results import ResultCode
from robinthread._internal.standins.log_standin import LogStandin
from robinthread._internal.telemetry.counters import Counters
from tests.lib.virtual import run_virtual


class Fold:
    """A folder with a method that encodes a record and applies it at the next offset."""

    def __init__(self) -> None:
        self.folder = Folder()
        self._offsets = itertools.count()

    def fold(self, body: object, author: str = "d1", record_id: str = "") -> FoldedRecord:
        offset = next(self._offsets)
        envelope = Envelope(
            KIND_OF_TYPE[type(body)],
            record_id or f"id-{offset}",
            author,
            "i",
            0,
            msgspec.Raw(msgspec.msgpack.encode(body)),
        )
        return self.folder.fold_record(offset, encode_batch((envelope,)))[0]


def make_pool_of_three() -> Fold:
    fold = Fold()
    fold.fold(PoolCreated("p", Budget(min_serving_hosts=2)))
    for number in (1, 2, 3):
        fold.fold(HostArrived(f"h{number}", "hall", "rack", "a:1", 8, 64))
        fold.fold(HostAssigned(f"h{number}", "p"))
    fold.fold(WaveCreated("w", "r", WaveKind.REBOOT, ("h1", "h2", "h3")))
    return fold


class BudgetReplayTest(TestCase):
    def test_counterexample_of_each_guard_is_refused(self) -> None:
        protocol = make_budget()
        for guard in protocol.removable:
            broken, trace = find_counterexample(protocol, without=guard)
            self.assertTrue(broken)
            self._replay([step.name for step in trace])

    def _replay(self, names: list[str]) -> None:
        fold = make_pool_of_three()
        permit_tokens: dict[str, int] = {}
        for name in names:
            host = "h" + re.findall(r"host (\d)", name)[0]
            met_before = self._is_budget_met(fold)
            is_daemon_decision = "permit" in name or "starts" in name
            self._apply_step(fold, name, host, permit_tokens)
            if is_daemon_decision:
                self.assertTrue(self._is_budget_met(fold) or not met_before, name)

    def _apply_step(self, fold: Fold, name: str, host: str, permit_tokens: dict[str, int]) -> None:
        current = fold.folder.state.hosts[host]
        if name.startswith("permit"):
            if fold.fold(DrainPermitted(host, "w", current.token)).code is ResultCode.OK:
                permit_tokens[host] = fold.folder.state.hosts[host].token
        elif "starts the drain" in name:
            fold.fold(DrainStarted(host, permit_tokens.pop(host, -1)))
        elif "fails" in name:
            fold.fold(HostFailed(host, current.token))
        elif current.phase is HostPhase.FAILED:
            fold.fold(HostRecovered(host, current.token))
        else:
            fold.fold(HostDrained(host, current.token, "b"))
            fold.fold(HostReturned(host, fold.folder.state.hosts[host].token))

    def _is_budget_met(self, fold: Fold) -> bool:
        state = fold.folder.state
        return state.pools["p"].budget.is_met_by(state.iter_pool_hosts("p"))


class MembershipReplayTest(TestCase):
    def test_concurrent_assignments_leave_host_in_one_pool(self) -> None:
        protocol = make_membership()
        _, trace = find_counterexample(protocol, without="free in order")
        fold = Fold()
        fold.fold(HostArrived("h", "hall", "rack", "a:1", 8, 64))
        for pool in ("1", "2"):
            fold.fold(PoolCreated(pool, Budget()))
        codes = [
            fold.fold(HostAssigned("h", re.findall(r"pool (\d)", step.name)[0])).code
            for step in trace
            if "assignment" in step.name
        ]
        self.assertEqual([ResultCode.OK, ResultCode.HOST_IN_OTHER_POOL], codes)

    def test_halls_that_lose_contact_are_not_both_cut(self) -> None:
        _, trace = find_counterexample(make_halls(), without="its own hall is not cut off")
        fold = Fold()
        for hall in ("1", "2"):
            fold.fold(DaemonJoined(f"d{hall}", "i", hall, "", ""))
        for step in trace:
            halls = re.findall(r"hall (\d)", step.name)
            if "is cut off" in step.name:
                fold.fold(HallCut(halls[1]), author=f"d{halls[0]}")
            elif "is healed" in step.name:
                fold.fold(HallHealed(halls[1]), author=f"d{halls[0]}")
        self.assertEqual(1, len(fold.folder.state.cut_halls))


class ClaimsReplayTest(TestCase):
    GUARDS = ("batch of the current epoch", "not claimed yet", "reads the stream before it grants")

    def test_counterexample_of_each_guard_runs_once(self) -> None:
        protocol = make_claims()
        for guard in self.GUARDS:
            broken, trace = find_counterexample(protocol, without=guard)
            self.assertEqual("runs at most once", broken)
            granted = run_virtual(self._replay([step.name for step in trace]))
            self.assertEqual(1, granted, guard)

    def test_no_claim_after_the_deadline(self) -> None:
        async def work() -> int:
            log, owner = LogStandin(), {}
            owner[1] = await self._start_owner(log, 1)
            late = Claim(b"k" * 12, b"d" * 8, 50.0, "daemon-1", "i", 1)
            return (await owner[1].claim(late)).code

        self.assertEqual(ResultCode.CLAIM_EXPIRED, run_virtual(work()))

    async def _replay(self, names: list[str]) -> int:
        log = LogStandin()
        owners: dict[str, PartitionOwner] = {}
        granted = 0
        for name in names:
            owner = (re.findall(r"owner (\d)", name) or [""])[0]
            if "takes the partition" in name:
                owners[owner] = await self._start_owner(log, int(owner))
            elif "claims for daemon" in name:
                daemon = re.findall(r"daemon (\d)", name)[0]
                claim = Claim(b"k" * 12, b"d" * 8, 1000.0, f"daemon-{daemon}", "i", int(daemon))
                granted += (await owners[owner].claim(claim)).code == ResultCode.OK
        return granted

    async def _start_owner(self, log: LogStandin, number: int) -> PartitionOwner:
        ids = itertools.count()
        owner = PartitionOwner(
            0,
            log.make_service(),
            f"owner-{number}",
            "i",
            lambda: f"{number}-{next(ids)}",
            lambda: 100.0,
            AppendPacer(lambda: 1e6),
            2.0,
            100,
            Counters(),
        )
        self._task = asyncio.get_running_loop().create_task(owner.run())
        while not owner.is_owner:
            await asyncio.sleep(0.01)
        return owner
