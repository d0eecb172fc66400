"""Model of fencing at a worker: a paused dispatcher, a drain and a reboot.

Dispatcher 1 leases a slot under its fencing token and may be paused before it sends the task.
Dispatcher 2 takes over, drains the host and reboots it.  ``fence`` is the newest token that
the worker has seen.
"""

import z3

from spec.protocol import Protocol, Step

OLD, NEW = 1, 2


def make_fencing() -> Protocol:
    """Return the model of fencing at a worker."""
    fence, running = z3.Ints("fence running")
    has_lease, is_draining, is_fenced, is_drained, is_interrupted = z3.Bools(
        "has_lease is_draining is_fenced is_drained is_interrupted"
    )
    true, false = z3.BoolVal(True), z3.BoolVal(False)
    steps = (
        Step(
            "dispatcher 1 leases a slot",
            {"serving": z3.Not(is_draining), "one lease": z3.Not(has_lease)},
            {"has_lease": true},
        ),
        Step(
            "the task arrives at the worker, perhaps late",
            {"leased": has_lease, "token is not older than the fence": fence <= OLD},
            {"has_lease": false, "running": running + 1},
        ),
        Step("the task ends", {"running": running > 0}, {"running": running - 1}),
        Step("dispatcher 2 starts a drain", {"once": z3.Not(is_draining)}, {"is_draining": true}),
        Step(
            "dispatcher 2 fences the worker",
            {"draining": is_draining},
            {"fence": z3.IntVal(NEW), "is_fenced": true},
        ),
        Step(
            "dispatcher 2 records that the host is drained",
            {
                "draining": is_draining,
                "fenced first": is_fenced,
                "the worker reports nothing running": running == 0,
            },
            {"is_drained": true},
        ),
        Step(
            "the host reboots",
            {"drained": is_drained},
            {"is_interrupted": z3.Or(is_interrupted, running > 0), "running": z3.IntVal(0)},
        ),
    )
    variables = {
        "fence": fence,
        "running": running,
        "has_lease": has_lease,
        "is_draining": is_draining,
        "is_fenced": is_fenced,
        "is_drained": is_drained,
        "is_interrupted": is_interrupted,
    }
    initial = {
        name: false if z3.is_bool(variable) else z3.IntVal(0)
        for name, variable in variables.items()
    }
    return Protocol(
        "fencing",
        variables,
        initial,
        steps,
        {
            "a planned reboot interrupts no request": z3.Not(is_interrupted),
            "a drained host runs nothing": z3.Implies(is_drained, running == 0),
        },
        (
            "token is not older than the fence",
            "fenced first",
            "the worker reports nothing running",
        ),
    )
