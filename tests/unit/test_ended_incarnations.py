"""Detection of ended hosts from the lists of machines."""

from dataclasses import replace

from testtools import TestCase

from robinthread._internal.fleet.ended_incarnations import REPORTED_FOR_S, EndedIncarnations
from robinthread._internal.models.machine import Machine, MachineState
from tests.lib.job_platforms import HOST_CAPACITY, POOL

UP = Machine("m", POOL, MachineState.UP, "hall", "rack", "kind", HOST_CAPACITY, "life1")


class EndedIncarnationsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self._begin()

    def _begin(self) -> None:
        self.ended = EndedIncarnations()
        self._list(0.0, UP)

    def _list(self, at_s: float, *machines: Machine) -> None:
        self.ended.record_listing({machine.name: machine for machine in machines}, at_s)

    def test_host_has_ended_if_its_machine_has_none_or_another_or_is_unlisted(self) -> None:
        down = replace(UP, state=MachineState.DOWN, host_id="")
        for machines in ((down,), (replace(UP, host_id="life2"),), ()):
            self._begin()
            self._list(1.0, *machines)
            self.assertEqual(("life1",), self.ended.list_for_pool(POOL))
            self.assertEqual((), self.ended.list_for_pool("other"))

    def test_host_that_was_never_listed_has_not_ended(self) -> None:
        self.ended = EndedIncarnations()
        self._list(0.0, replace(UP, state=MachineState.DOWN, host_id=""))
        self._list(1.0, UP)
        self.assertEqual((), self.ended.list_for_pool(POOL))

    def test_host_that_ended_by_an_order_is_not_reported(self) -> None:
        for state in (MachineState.MOVING, MachineState.UPKEEP):
            self._begin()
            self._list(1.0, replace(UP, state=state, host_id=""))
            self.assertEqual((), self.ended.list_for_pool(POOL))

    def test_ended_host_is_reported_for_a_while(self) -> None:
        self._list(1.0)
        self._list(0.9 + REPORTED_FOR_S)
        self.assertEqual(("life1",), self.ended.list_for_pool(POOL))
        self._list(1.0 + REPORTED_FOR_S)
        self.assertEqual((), self.ended.list_for_pool(POOL))

    def test_host_that_is_listed_again_under_its_id_is_not_reported(self) -> None:
        self._list(1.0, replace(UP, state=MachineState.DOWN, host_id=""))
        self.assertEqual(("life1",), self.ended.list_for_pool(POOL))
        self._list(2.0, UP)
        self.assertEqual((), self.ended.list_for_pool(POOL))
