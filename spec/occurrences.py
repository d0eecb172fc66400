"""Model of an occurrence of a job with one task, under owners of its pool that replace each other.

An owner that ``may_open`` the occurrence, by its clock and by what else waits, makes its task:
``has_task``, which then ``is_waiting``.  Its run ``is_recorded`` before it is started, and ends as
done: ``has_ended``.  An owner that ``knows_end`` records that and retires the occurrence:
``is_retired``, and the task is dropped from its memory.  ``is_opened`` is what the owner believes.
"""

import z3

from spec.protocol import Protocol, Step

RUNS_MAX = 2


def make_occurrences() -> Protocol:
    """Return the model of an occurrence, its opening and its retirement."""
    runs = z3.Int("runs")
    may_open, is_opened, has_task, is_waiting = z3.Bools("may_open is_opened has_task is_waiting")
    is_recorded, has_ended, knows_end, is_retired = z3.Bools(
        "is_recorded has_ended knows_end is_retired"
    )
    true, false = z3.BoolVal(True), z3.BoolVal(False)
    restored = {
        "may_open": false,
        "is_waiting": false,
        "has_task": z3.And(is_recorded, z3.Not(is_retired)),
        "knows_end": is_retired,
    }
    steps = (
        Step("the owner's clock or the load changes", {}, {"may_open": z3.Not(may_open)}),
        Step(
            "the owner opens the occurrence",
            {"it may": may_open, "not opened yet": z3.Not(is_opened)},
            # A task that is known has a run.
            {"is_opened": true, "has_task": true, "is_waiting": z3.Not(has_task)},
        ),
        Step(
            "the owner records a run and the host begins it",
            {"the task waits": is_waiting, "there were few": runs < RUNS_MAX},
            {"is_waiting": false, "is_recorded": true, "runs": runs + 1},
        ),
        Step("the run ends as done", {"it was started": is_recorded}, {"has_ended": true}),
        Step(
            "the owner learns of the end",
            {"it ended": has_ended, "the task is known": has_task},
            {"knows_end": true},
        ),
        Step(
            "the owner records the end and retires the occurrence",
            {"the end is known": knows_end, "its task does not wait": z3.Not(is_waiting)},
            {"is_retired": true, "has_task": false},
        ),
        Step(
            "the next owner restores an occurrence that has a run",
            {"a run is recorded": is_recorded},
            {**restored, "is_opened": true},
        ),
        Step(
            "the next owner finds an occurrence that has none",
            {"no run is recorded": z3.Not(is_recorded)},
            {**restored, "is_opened": is_retired},
        ),
    )
    variables = {
        "runs": runs,
        "may_open": may_open,
        "is_opened": is_opened,
        "has_task": has_task,
        "is_waiting": is_waiting,
        "is_recorded": is_recorded,
        "has_ended": has_ended,
        "knows_end": knows_end,
        "is_retired": is_retired,
    }
    initial = {
        name: false if z3.is_bool(variable) else z3.IntVal(0)
        for name, variable in variables.items()
    }
    return Protocol(
        "occurrences",
        variables,
        initial,
        steps,
        {"a task whose end is recorded does not run again": runs < RUNS_MAX},
        ("no run is recorded", "not opened yet"),
        is_finite=True,
    )
