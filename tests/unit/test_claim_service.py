"""Assignment of claim partitions when daemons join or leave."""

import asyncio
import itertools
from dataclasses import replace

from testtools import TestCase

from robinthread._internal.claims.claim_service import ClaimContext, ClaimService, assign_partitions
from robinthread._internal.claims.records import decode_partition_record
from robinthread._internal.models.daemon_member import DaemonMember
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.peers.router import PeerRouter
from robinthread._internal.settings.claim_settings import ClaimSettings
from robinthread._internal.standins.gate import Gate
from robinthread._internal.standins.log_standin import LogStandin
from robinthread._internal.standins.peer_network import PeerNetwork
from robinthread._internal.telemetry.counters import Counters
from robinthread._internal.timeline.hybrid_clock import HybridClock
from tests.lib.virtual import run_virtual

PARTITIONS = 8


def make_member(name: str) -> DaemonMember:
    return DaemonMember(name, "i", "hall", f"tcp://{name}", "")


class PartitionAssignmentTest(TestCase):
    def test_late_acquisition_does_not_displace_the_assigned_daemon(self) -> None:
        async def work() -> None:
            log = LogStandin()
            log.faults.delay_s = 1.0
            alone = FleetState(daemons={"a": make_member("a")})
            both = replace(alone, daemons=alone.daemons | {"b": make_member("b")})
            states = [alone]
            service = self._make_service(log, states)
            service.update_owned_partitions()
            await asyncio.sleep(0.5)
            states[0] = both
            service.update_owned_partitions()
            await asyncio.sleep(10.0)
            owners = [await self._read_owners(log, number) for number in range(PARTITIONS)]
            assignment = assign_partitions(("a", "b"), PARTITIONS)
            self.assertEqual(
                [["a"] if assignment[number] == "a" else [] for number in range(PARTITIONS)], owners
            )
            self.assertIn("b", assignment.values())

        run_virtual(work())

    def _make_service(self, log: LogStandin, states: list[FleetState]) -> ClaimService:
        ids = itertools.count()
        context = ClaimContext(
            "a",
            "hall",
            lambda: "i",
            lambda: states[0],
            lambda member: True,
            lambda: f"id-{next(ids)}",
            lambda: 100.0,
        )
        transport = PeerNetwork(1, 0.001).make_transport("tcp://a", Gate())
        router = PeerRouter("a", transport, HybridClock(lambda: 100.0), Counters(), 1)
        settings = ClaimSettings(claim_partitions=PARTITIONS)
        return ClaimService(context, settings, log.make_service(), router, Counters())

    async def _read_owners(self, log: LogStandin, number: int) -> list[str]:
        page = await log.read(f"claims-{number}", 0, 100, 0.0)
        return [decode_partition_record(record.data).owner for record in page.records]  # type: ignore[union-attr]
