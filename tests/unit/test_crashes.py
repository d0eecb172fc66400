"""Rules that attribute host crashes to a task."""

from testtools import TestCase

from robinthread._internal.jobs.crashes import (
    Crash,
    attribute_all_elsewhere,
    attribute_to_culprit,
    is_culprit,
    is_suspect,
    list_caused_crashes,
    must_run_alone,
)


def crash(
    run: int, age_ms: int = 12, sure: bool = False, close: bool | None = None, machine: str = ""
) -> Crash:
    """Make a crash during a run, on a host of its own and a machine of its own if none is named."""
    is_near_start = age_ms < 150 if close is None else close
    return Crash(f"h{run}", machine or f"m{run}", run, age_ms, is_near_start, sure)


class CrashesTest(TestCase):
    def test_crash_near_the_start_makes_a_task_suspect(self) -> None:
        self.assertTrue(is_suspect([crash(1)]))
        self.assertFalse(is_suspect([crash(1, 800)]))
        self.assertFalse(is_suspect([]))

    def test_third_run_with_a_host_crash_makes_any_task_run_alone(self) -> None:
        late = [crash(1, 800), crash(2, 300), crash(3, 2000)]
        self.assertFalse(is_suspect(late[:2]))
        self.assertTrue(is_suspect(late) and must_run_alone(late))

    def test_several_crashes_in_one_run_of_a_gang_count_once(self) -> None:
        one_run = [Crash(f"h{host}", f"m{host}", 1, 800, False, False) for host in range(4)]
        self.assertFalse(must_run_alone(one_run))

    def test_two_confirmed_crashes_on_two_machines_make_a_culprit(self) -> None:
        self.assertTrue(is_culprit([crash(1), crash(2, sure=True), crash(3, sure=True)]))
        self.assertFalse(is_culprit([crash(1), crash(2, sure=True)]))
        self.assertFalse(is_culprit([crash(1), crash(2), crash(3)]))

    def test_crashes_on_one_machine_make_no_culprit(self) -> None:
        same = [crash(1), crash(2, sure=True, machine="m"), crash(3, sure=True, machine="m")]
        self.assertFalse(is_culprit(same))
        self.assertTrue(is_culprit([*same, crash(4, sure=True, machine="m")]))

    def test_crashes_at_different_run_ages_make_no_culprit(self) -> None:
        self.assertFalse(is_culprit([crash(1, 390, sure=True), crash(2, 790, sure=True)]))
        self.assertTrue(is_culprit([crash(1, 600, sure=True), crash(2, 602, sure=True)]))

    def test_fifth_run_needs_one_confirmed_and_three_similar_crashes(self) -> None:
        before = [crash(1, 600), crash(2, 601), crash(3, 390), crash(4, 100, sure=True)]
        self.assertTrue(is_culprit([*before, crash(5, 602, sure=True)]))
        self.assertFalse(is_culprit([*before, crash(5, 1600, sure=True)]))
        self.assertFalse(is_culprit([*before, crash(5, 602)]))

    def test_lasting_task_needs_two_confirmed_crashes(self) -> None:
        crashes = [*(crash(run, 600) for run in range(1, 5)), crash(5, 601, sure=True)]
        self.assertTrue(is_culprit(crashes))
        self.assertFalse(is_culprit(crashes, is_lasting=True))

    def test_cleared_task_is_not_suspect_but_its_runs_count(self) -> None:
        cleared = attribute_all_elsewhere([crash(1), crash(2, sure=True)])
        self.assertFalse(is_suspect(cleared))
        self.assertTrue(must_run_alone([*cleared, crash(3)]))

    def test_crash_attributed_to_another_task_no_longer_counts(self) -> None:
        caused = [crash(1), crash(2, sure=True)]
        self.assertEqual(
            [], attribute_to_culprit([Crash("h1", "m1", 7, 900, False, False)], caused)
        )

    def test_task_that_began_with_the_culprit_is_not_suspect_but_its_run_counts(self) -> None:
        left = attribute_to_culprit([Crash("h1", "m1", 7, 12, True, False)], [crash(1)])
        self.assertEqual([True], [each.has_other_cause for each in left])
        self.assertFalse(is_suspect(left))

    def test_task_with_a_second_crash_stays_suspect(self) -> None:
        mine = [Crash("h1", "m1", 7, 12, True, False), Crash("h9", "m9", 8, 11, True, False)]
        self.assertEqual(mine, attribute_to_culprit(mine, [crash(1)]))

    def test_crashes_unlike_the_confirmed_ones_are_not_attributed_to_the_task(self) -> None:
        mine = [crash(1, 900), crash(2, 12), crash(3, 12, sure=True), crash(4, 11, sure=True)]
        self.assertEqual(
            ("h2", "h3", "h4"), tuple(each.host_id for each in list_caused_crashes(mine))
        )
