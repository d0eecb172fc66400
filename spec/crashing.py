"""Model of a task that crashes its hosts, under owners that may be lost at any time.

``phase``: 0 waiting, 1 recorded, 2 running, 3 crashed with its host and not yet detected.
``caused_crashes`` counts the hosts that the task crashed, ``starts_after`` its starts after
the third of them.  ``count`` and ``confirmed`` are the owner's counts of crashes and of crashes
while the task ran alone on its host; ``recorded_count`` and ``recorded_confirmed`` are the
stored ones.  ``alone`` marks a run without other tasks on the host, ``recorded_alone`` passes
that on to the next owner.  While ``recorded_open`` is 1, the record names the run, so that the
next owner detects its end again.  Hosts may also crash for other reasons during a run.
"""

import z3

from spec.protocol import Protocol, Step

WAITING, RECORDED, RUNNING, CRASHED = range(4)
ALONE_AFTER_RUNS, CONFIRMED_RUNS_MIN, CRASHES_BEFORE_COUNTING, STARTS_AFTER_MAX = 3, 2, 3, 2


def make_crashing() -> Protocol:
    """Return the model of crash attribution to a task."""
    names = (
        "phase",
        "caused_crashes",
        "starts_after",
        "count",
        "confirmed",
        "recorded_count",
        "recorded_confirmed",
        "alone",
        "recorded_alone",
        "recorded_open",
    )
    variables = {name: z3.Int(name) for name in names}
    (
        phase,
        caused_crashes,
        starts_after,
        count,
        confirmed,
        recorded_count,
        recorded_confirmed,
        alone,
        recorded_alone,
        recorded_open,
    ) = (variables[name] for name in names)
    inherited_phase = z3.If(z3.And(phase == WAITING, recorded_open == 1), CRASHED, phase)
    steps = (
        Step(
            "the owner places a run among others and records it",
            {"waiting": phase == WAITING, "alone after three crashes": count < ALONE_AFTER_RUNS},
            _record(count, confirmed, is_alone=0),
        ),
        Step(
            "the owner places a run alone and records it",
            {
                "waiting": phase == WAITING,
                "suspect": count >= ALONE_AFTER_RUNS,
                "failed permanently once confirmed": confirmed < CONFIRMED_RUNS_MIN,
            },
            _record(count, confirmed, is_alone=1),
        ),
        Step(
            "the host starts the run",
            {"recorded": phase == RECORDED},
            {
                "phase": z3.IntVal(RUNNING),
                "starts_after": starts_after
                + z3.If(caused_crashes >= CRASHES_BEFORE_COUNTING, 1, 0),
            },
        ),
        Step(
            "the task crashes its host",
            {"running": phase == RUNNING},
            {"phase": z3.IntVal(CRASHED), "caused_crashes": caused_crashes + 1},
        ),
        Step(
            "the host crashes for another reason",
            {"running": phase == RUNNING},
            {"phase": z3.IntVal(CRASHED)},
        ),
        Step(
            "the owner detects the crash",
            {"crashed": phase == CRASHED},
            {"phase": z3.IntVal(WAITING), "count": count + 1, "confirmed": confirmed + alone},
        ),
        Step(
            "the owner records its crash counts",
            {"waiting": phase == WAITING},
            {
                "recorded_count": count,
                "recorded_confirmed": confirmed,
                "recorded_open": z3.IntVal(0),
            },
        ),
        Step(
            "a new owner resumes from the record",
            {"at any time": z3.BoolVal(True)},
            {
                "phase": inherited_phase,
                "count": recorded_count,
                "confirmed": recorded_confirmed,
                "alone": recorded_alone,
            },
        ),
        Step(
            "a new owner resumes and does not know that the run was alone",
            {"the record marks runs that are alone": z3.BoolVal(False)},
            {
                "phase": inherited_phase,
                "count": recorded_count,
                "confirmed": recorded_confirmed,
                "alone": z3.IntVal(0),
            },
        ),
        Step(
            "a new owner resumes without the crash counts",
            {"the record contains the counts": z3.BoolVal(False)},
            {"phase": inherited_phase, "count": z3.IntVal(0), "confirmed": z3.IntVal(0)},
        ),
        Step(
            "the record drops the run before its end is counted",
            {"the record names the run": z3.And(phase == CRASHED, z3.BoolVal(False))},
            {"phase": z3.IntVal(WAITING), "recorded_open": z3.IntVal(0)},
        ),
    )
    return Protocol(
        "crashing",
        variables,
        {name: z3.IntVal(0) for name in names},
        steps,
        {"at most two more starts after the third crash": starts_after <= STARTS_AFTER_MAX},
        (
            "alone after three crashes",
            "failed permanently once confirmed",
            "the record marks runs that are alone",
            "the record contains the counts",
            "the record names the run",
        ),
    )


def _record(count: z3.ArithRef, confirmed: z3.ArithRef, is_alone: int) -> dict[str, z3.ExprRef]:
    return {
        "phase": z3.IntVal(RECORDED),
        "recorded_count": count,
        "recorded_confirmed": confirmed,
        "alone": z3.IntVal(is_alone),
        "recorded_alone": z3.IntVal(is_alone),
        "recorded_open": z3.IntVal(1),
    }
