"""Crashes under one task that crashes its hosts: an owner that may be lost at any time.

``phase``: 0 waiting, 1 recorded, 2 running, 3 crashed with its host, which nobody knows yet.
``caused_crashes`` counts the hosts that the task took down, ``starts_after`` its starts
after the third.  ``count`` and ``confirmed`` are the owner's, ``recorded_count`` and
``recorded_confirmed`` the record's; a run is ``alone`` or not, and the record may tell that
(``recorded_alone``) to the next owner.  While it is ``recorded_open`` the record names
the run, so that the next owner learns of its end anew.  Hosts may crash by themselves under it.
"""

import z3

from spec.protocol import Protocol, Step

WAITING, RECORDED, RUNNING, CRASHED = range(4)
ALONE_AFTER_RUNS, CONFIRMED_RUNS_MIN, CRASHES_BEFORE_COUNTING, STARTS_AFTER_MAX = 3, 2, 3, 2


def make_crashing() -> Protocol:
    """Make the protocol."""
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
            {"waits": phase == WAITING, "alone from the third run on": count < ALONE_AFTER_RUNS},
            _record(count, confirmed, is_alone=0),
        ),
        Step(
            "the owner places a run alone and records it",
            {
                "waits": phase == WAITING,
                "suspect": count >= ALONE_AFTER_RUNS,
                "given up once it is sure": confirmed < CONFIRMED_RUNS_MIN,
            },
            _record(count, confirmed, is_alone=1),
        ),
        Step(
            "the host begins the run",
            {"recorded": phase == RECORDED},
            {
                "phase": z3.IntVal(RUNNING),
                "starts_after": starts_after
                + z3.If(caused_crashes >= CRASHES_BEFORE_COUNTING, 1, 0),
            },
        ),
        Step(
            "the task takes its host down",
            {"runs": phase == RUNNING},
            {"phase": z3.IntVal(CRASHED), "caused_crashes": caused_crashes + 1},
        ),
        Step(
            "the host crashes by itself",
            {"runs": phase == RUNNING},
            {"phase": z3.IntVal(CRASHED)},
        ),
        Step(
            "the owner learns of the crash",
            {"crashed": phase == CRASHED},
            {"phase": z3.IntVal(WAITING), "count": count + 1, "confirmed": confirmed + alone},
        ),
        Step(
            "the owner records what it learnt",
            {"waits": phase == WAITING},
            {
                "recorded_count": count,
                "recorded_confirmed": confirmed,
                "recorded_open": z3.IntVal(0),
            },
        ),
        Step(
            "another owner goes on by the record",
            {"at any time": z3.BoolVal(True)},
            {
                "phase": inherited_phase,
                "count": recorded_count,
                "confirmed": recorded_confirmed,
                "alone": recorded_alone,
            },
        ),
        Step(
            "another owner goes on, and does not know that the run was alone",
            {"the record tells of runs alone": z3.BoolVal(False)},
            {
                "phase": inherited_phase,
                "count": recorded_count,
                "confirmed": recorded_confirmed,
                "alone": z3.IntVal(0),
            },
        ),
        Step(
            "another owner goes on without what was counted",
            {"the record tells the counts": z3.BoolVal(False)},
            {"phase": inherited_phase, "count": z3.IntVal(0), "confirmed": z3.IntVal(0)},
        ),
        Step(
            "the record forgets the run before its end is counted",
            {"the record names the run": z3.And(phase == CRASHED, z3.BoolVal(False))},
            {"phase": z3.IntVal(WAITING), "recorded_open": z3.IntVal(0)},
        ),
    )
    return Protocol(
        "crashing",
        variables,
        {name: z3.IntVal(0) for name in names},
        steps,
        {"started twice more at most after the third crash": starts_after <= STARTS_AFTER_MAX},
        (
            "alone from the third run on",
            "given up once it is sure",
            "the record tells of runs alone",
            "the record tells the counts",
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
