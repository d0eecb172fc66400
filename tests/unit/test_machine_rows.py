"""Absence from a list of machines with malformed rows is no proof that a machine is gone."""

from testtools import TestCase

from robinthread._internal.fleet.ended_incarnations import EndedIncarnations
from robinthread._internal.fleet.machine_rows import KEPT_MAX_S, MachineRows
from robinthread._internal.models.machine import Machine, MachineState
from robinthread._internal.models.resources import Resources

NOW_S = 100.0


def make_machine(number: int) -> Machine:
    room = Resources(1, 1, 0)
    return Machine(f"m-{number}", "press", MachineState.UP, "", "r", "", room, f"i-{number}")


class MachineRowsTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.rows = MachineRows()
        self.machines = [make_machine(number) for number in range(3)]
        self.rows.complete(self.machines, (), NOW_S)

    def list_states(self, count: int, malformed: tuple[str, ...], now_s: float) -> dict[str, str]:
        found = self.rows.complete(self.machines[:count], malformed, now_s)
        return {machine.name: machine.state.value for machine in found}

    def test_machines_missing_beside_a_malformed_row_are_kept_as_down(self) -> None:
        """Guards against hosts that are up and count as ended, so that their runs run twice."""
        for malformed in (("other",), ("",), ("m-1",)):
            ended = EndedIncarnations()
            ended.record_listing({machine.name: machine for machine in self.machines}, NOW_S)
            found = self.rows.complete(self.machines[:1], malformed, NOW_S + 1)
            ended.record_listing({machine.name: machine for machine in found}, NOW_S + 1)
            self.assertEqual((), ended.list_for_pool("press"))
            self.assertEqual(["up", "down", "down"], [machine.state.value for machine in found])

    def test_machines_missing_from_a_sound_list_are_gone(self) -> None:
        self.assertEqual({"m-0": "up"}, self.list_states(1, (), NOW_S + 1))
        self.assertEqual({"m-0": "up"}, self.list_states(1, ("other",), NOW_S + 2))

    def test_row_that_stays_malformed_keeps_no_other_machine_for_good(self) -> None:
        """Guards against one odd row because of which no machine is ever gone."""
        self.assertEqual(3, len(self.list_states(2, ("other",), NOW_S + 1)))
        later_s = NOW_S + KEPT_MAX_S
        self.assertEqual({"m-0": "up", "m-1": "up"}, self.list_states(2, ("other",), later_s))

    def test_machine_whose_own_row_stays_malformed_is_kept(self) -> None:
        later_s = NOW_S + 10 * KEPT_MAX_S
        found = self.list_states(2, ("m-2",), later_s)
        self.assertEqual({"m-0": "up", "m-1": "up", "m-2": "down"}, found)
