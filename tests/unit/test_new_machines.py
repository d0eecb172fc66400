"""Detection of machines that have just come up."""

from dataclasses import replace

from testtools import TestCase

from robinthread._internal.fleet.new_machines import FIRST_REPORT_MAX_S, NewMachines
from robinthread._internal.models.machine import Machine, MachineState
from tests.lib.job_platforms import HOST_CAPACITY, POOL

UP = Machine("m", POOL, MachineState.UP, "hall", "rack", "kind", HOST_CAPACITY, "life1")
MOVING = replace(UP, state=MachineState.MOVING, host_id="")


class NewMachinesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.new_machines = NewMachines()

    def _list(self, *machines: Machine, ordered: frozenset[str] = frozenset()) -> None:
        self.new_machines.record_listing(machines, ordered)

    def test_machine_that_was_up_in_the_first_list_is_not_new(self) -> None:
        self._list(UP)
        self.assertFalse(self.new_machines.is_new(UP, 0.0))
        self._list(UP)
        self.assertFalse(self.new_machines.is_new(UP, 1.0))

    def test_machine_that_was_just_ordered_is_new_for_a_while(self) -> None:
        self._list(UP, ordered=frozenset({"m"}))
        self.assertTrue(self.new_machines.is_new(UP, 5.0))
        self._list(UP)
        self.assertTrue(self.new_machines.is_new(UP, 4.9 + FIRST_REPORT_MAX_S))
        self.assertFalse(self.new_machines.is_new(UP, 5.0 + FIRST_REPORT_MAX_S))

    def test_machine_that_comes_up_later_is_new(self) -> None:
        self._list(MOVING)
        self.assertFalse(self.new_machines.is_new(MOVING, 0.0))
        self._list(UP)
        self.assertTrue(self.new_machines.is_new(UP, 1.0))

    def test_each_incarnation_of_a_machine_has_its_own_time(self) -> None:
        self._list(UP)
        again = replace(UP, host_id="life2")
        self._list(again)
        self.assertTrue(self.new_machines.is_new(again, 0.0))
        self.assertFalse(self.new_machines.is_new(again, FIRST_REPORT_MAX_S))
        last = replace(UP, host_id="life3")
        self._list(last)
        self.assertTrue(self.new_machines.is_new(last, FIRST_REPORT_MAX_S))

    def test_machine_whose_host_was_reported_is_not_new(self) -> None:
        self._list(MOVING)
        self._list(UP)
        self.new_machines.record_reported_hosts(["life1"])
        self.assertFalse(self.new_machines.is_new(UP, 0.0))
        self._list(UP)
        self.assertFalse(self.new_machines.is_new(UP, 0.1))

    def test_machine_whose_host_is_not_listed_yet_is_new(self) -> None:
        """Machines of the reserve are up without a host, which must not affect other machines."""
        without_host = replace(UP, host_id="")
        self._list(replace(without_host, name="spare", pool="reserve"), MOVING)
        self._list(without_host)
        self.assertTrue(self.new_machines.is_new(without_host, 0.0))
