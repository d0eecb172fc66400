"""Which machines a steward takes for ones that have just come up."""

from dataclasses import replace

from testtools import TestCase

from robinthread._internal.fleet.newcomers import UNHEARD_MAX_S, Newcomers
from robinthread._internal.models.machine import Machine, MachineState
from tests.lib.job_platforms import HOST_CAPACITY, POOL

UP = Machine("m", POOL, MachineState.UP, "hall", "rack", "kind", HOST_CAPACITY, "life1")
MOVING = replace(UP, state=MachineState.MOVING, host_id="")


class NewcomersTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.newcomers = Newcomers()

    def _list(self, *machines: Machine, ordered: frozenset[str] = frozenset()) -> None:
        self.newcomers.note_listed(machines, ordered)

    def test_machine_that_was_up_at_first_is_none(self) -> None:
        self._list(UP)
        self.assertFalse(self.newcomers.is_newcomer(UP, 0.0))
        self._list(UP)
        self.assertFalse(self.newcomers.is_newcomer(UP, 1.0))

    def test_machine_that_was_just_ordered_is_one_for_a_while(self) -> None:
        self._list(UP, ordered=frozenset({"m"}))
        self.assertTrue(self.newcomers.is_newcomer(UP, 5.0))
        self._list(UP)
        self.assertTrue(self.newcomers.is_newcomer(UP, 4.9 + UNHEARD_MAX_S))
        self.assertFalse(self.newcomers.is_newcomer(UP, 5.0 + UNHEARD_MAX_S))

    def test_machine_that_comes_up_later_is_one(self) -> None:
        self._list(MOVING)
        self.assertFalse(self.newcomers.is_newcomer(MOVING, 0.0))
        self._list(UP)
        self.assertTrue(self.newcomers.is_newcomer(UP, 1.0))

    def test_each_life_of_a_machine_has_its_own_time(self) -> None:
        self._list(UP)
        again = replace(UP, host_id="life2")
        self._list(again)
        self.assertTrue(self.newcomers.is_newcomer(again, 0.0))
        self.assertFalse(self.newcomers.is_newcomer(again, UNHEARD_MAX_S))
        last = replace(UP, host_id="life3")
        self._list(last)
        self.assertTrue(self.newcomers.is_newcomer(last, UNHEARD_MAX_S))

    def test_host_that_its_pool_has_named_is_none(self) -> None:
        self._list(MOVING)
        self._list(UP)
        self.newcomers.note_named(["life1"])
        self.assertFalse(self.newcomers.is_newcomer(UP, 0.0))
        self._list(UP)
        self.assertFalse(self.newcomers.is_newcomer(UP, 0.1))

    def test_machine_whose_host_is_not_shown_yet_is_one(self) -> None:
        """The reserve's machines are up without a host, and say nothing of others."""
        unshown = replace(UP, host_id="")
        self._list(replace(unshown, name="spare", pool="reserve"), MOVING)
        self._list(unshown)
        self.assertTrue(self.newcomers.is_newcomer(unshown, 0.0))
