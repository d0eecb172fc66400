"""Model of one task under two successive owners of its pool, with a host that may be unreachable.

Owner 1 records a start, sends it to host 1 and may be paused at any point.  Owner 2 acquires
the pool and may start the task on host 2.  Once the lease of host 1 has lapsed, host 1 runs
no task and rejects starts that were sent earlier.
"""

import z3

from spec.protocol import Protocol, Step

OLD, NEW = 1, 2


def make_ownership() -> Protocol:
    """Return the model of pool ownership."""
    epoch, fence = z3.Ints("epoch fence")
    is_recorded, is_sent, runs_on_1, runs_on_2, is_lapsed = z3.Bools(
        "is_recorded is_sent runs_on_1 runs_on_2 is_lapsed"
    )
    end_listed, end_recorded, was_end_lost, was_run_repeated = z3.Bools(
        "end_listed end_recorded was_end_lost was_run_repeated"
    )
    is_open, knows_run, knows_end, has_report, report_lists_run = z3.Bools(
        "is_open knows_run knows_end has_report report_lists_run"
    )
    true, false = z3.BoolVal(True), z3.BoolVal(False)
    is_restart_safe = z3.Or(
        z3.Not(knows_run), z3.And(has_report, z3.Not(report_lists_run)), is_lapsed
    )
    steps = (
        Step(
            "owner 1 records a run on host 1",
            {
                "the store has seen no newer owner": epoch == OLD,
                "not started": z3.And(z3.Not(is_recorded), z3.Not(end_recorded)),
            },
            {"is_recorded": true},
        ),
        Step(
            "owner 1 sends the start",
            {"recorded first": is_recorded, "once": z3.Not(is_sent)},
            {"is_sent": true},
        ),
        Step(
            "the start arrives at host 1, perhaps late",
            {
                "sent": is_sent,
                "its token is not older than the newest seen by the host": fence <= OLD,
                "its lease has not lapsed": z3.Not(is_lapsed),
                "not ended there": z3.Not(z3.Or(end_listed, end_recorded)),
            },
            {"runs_on_1": true, "was_run_repeated": z3.Or(was_run_repeated, runs_on_2, knows_end)},
        ),
        Step(
            "the run ends on host 1",
            {"running": runs_on_1},
            {"runs_on_1": false, "end_listed": true},
        ),
        Step(
            "the lease of host 1 lapses",
            {"once": z3.Not(is_lapsed)},
            {"is_lapsed": true, "runs_on_1": false},
        ),
        Step(
            "owner 1 records the end",
            {"the store has seen no newer owner": epoch == OLD, "listed": end_listed},
            {"end_recorded": true},
        ),
        Step(
            "owner 1 acknowledges the end, and the host drops it",
            {"listed": end_listed, "the end is recorded first": end_recorded},
            {"end_listed": false, "was_end_lost": z3.Or(was_end_lost, z3.Not(end_recorded))},
        ),
        Step("owner 2 sets its epoch", {"once": epoch == OLD}, {"epoch": z3.IntVal(NEW)}),
        Step(
            "owner 2 reads the progress",
            {"its epoch is set first": epoch == NEW, "once": z3.Not(is_open)},
            {"is_open": true, "knows_run": is_recorded, "knows_end": end_recorded},
        ),
        Step(
            "owner 2 receives the report of host 1 under its token",
            {"open": is_open},
            {
                "fence": z3.IntVal(NEW),
                "has_report": true,
                "report_lists_run": runs_on_1,
                "knows_end": z3.Or(knows_end, end_listed),
            },
        ),
        Step(
            "owner 2 starts the task on host 2",
            {
                "open": is_open,
                "not done": z3.Not(knows_end),
                "once": z3.Not(runs_on_2),
                "the host of a recorded run has reported, or its lease has lapsed": is_restart_safe,
            },
            {
                "runs_on_2": true,
                "was_run_repeated": z3.Or(was_run_repeated, runs_on_1, end_recorded, was_end_lost),
            },
        ),
    )
    variables = {
        str(variable): variable
        for variable in (
            epoch,
            fence,
            is_recorded,
            is_sent,
            runs_on_1,
            runs_on_2,
            is_lapsed,
            end_listed,
            end_recorded,
            was_end_lost,
            was_run_repeated,
            is_open,
            knows_run,
            knows_end,
            has_report,
            report_lists_run,
        )
    }
    initial = {
        name: false if z3.is_bool(variable) else z3.IntVal(0)
        for name, variable in variables.items()
    } | {"epoch": z3.IntVal(OLD)}
    return Protocol(
        "ownership",
        variables,
        initial,
        steps,
        {
            "no two concurrent runs, and no run after a recorded end": z3.Not(was_run_repeated),
            "an acknowledged end is recorded": z3.Not(was_end_lost),
        },
        (
            "the store has seen no newer owner",
            "recorded first",
            "its token is not older than the newest seen by the host",
            "its lease has not lapsed",
            "the end is recorded first",
            "its epoch is set first",
            "the host of a recorded run has reported, or its lease has lapsed",
        ),
    )
