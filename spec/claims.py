"""Model of at-most-once execution: two partition owners, two daemons with attempts of one request.

The log's order decides: ``epoch`` is the owner that last acquired the partition, ``claimed``
the daemon whose claim is valid in the log (0 for none).  An owner may be paused at any point
and not know that it was replaced.  A reply may be lost after the append took effect; the grant
then reaches the daemon through a repeated append, or never.  The request's deadline passes
once, after which its claim may be dropped.
"""

import z3

from spec.protocol import Protocol, Step

OWNERS = (1, 2)
DAEMONS = (1, 2)


def make_claims() -> Protocol:
    """Return the model of request claims."""
    epoch, claimed = z3.Ints("epoch claimed")
    is_past_deadline = z3.Bool("is_past_deadline")
    table = {owner: z3.Int(f"table_{owner}") for owner in OWNERS}
    believes = {owner: z3.Bool(f"believes_{owner}") for owner in OWNERS}
    granted = {daemon: z3.Bool(f"granted_{daemon}") for daemon in DAEMONS}
    ran = {daemon: z3.Bool(f"ran_{daemon}") for daemon in DAEMONS}
    denied = {daemon: z3.Bool(f"denied_{daemon}") for daemon in DAEMONS}
    steps = [
        Step(
            "deadline passes",
            {"once": z3.Not(is_past_deadline)},
            {"is_past_deadline": z3.BoolVal(True)},
        )
    ]
    for owner in OWNERS:
        steps += [
            Step(
                f"owner {owner} takes the partition and reads its stream",
                {"other": epoch != owner},
                {
                    "epoch": z3.IntVal(owner),
                    f"table_{owner}": claimed,
                    f"believes_{owner}": z3.BoolVal(True),
                },
            ),
            Step(
                f"owner {owner} takes the partition and reads nothing",
                {"reads the stream before it grants": z3.BoolVal(False), "other": epoch != owner},
                {
                    "epoch": z3.IntVal(owner),
                    f"table_{owner}": z3.IntVal(0),
                    f"believes_{owner}": z3.BoolVal(True),
                },
            ),
            Step(
                f"owner {owner} drops the claim after the deadline",
                {"late": is_past_deadline, "held": table[owner] != 0, "owner": epoch == owner},
                {f"table_{owner}": z3.IntVal(0), "claimed": z3.IntVal(0)},
            ),
        ]
        for daemon in DAEMONS:
            is_requesting = z3.And(believes[owner], z3.Not(granted[daemon]), z3.Not(denied[daemon]))
            steps += [
                Step(
                    f"owner {owner} claims for daemon {daemon}",
                    {
                        "requesting": is_requesting,
                        "not claimed yet": table[owner] == 0,
                        "before the deadline": z3.Not(is_past_deadline),
                        "batch of the current epoch": epoch == owner,
                    },
                    {
                        "claimed": z3.IntVal(daemon),
                        f"table_{owner}": z3.IntVal(daemon),
                        f"granted_{daemon}": z3.BoolVal(True),
                    },
                ),
                Step(
                    f"owner {owner} claims for daemon {daemon}, reply lost",
                    {
                        "requesting": is_requesting,
                        "not claimed yet": table[owner] == 0,
                        "before the deadline": z3.Not(is_past_deadline),
                        "batch of the current epoch": epoch == owner,
                    },
                    {"claimed": z3.IntVal(daemon), f"table_{owner}": z3.IntVal(daemon)},
                ),
                Step(
                    f"owner {owner} appends daemon {daemon}'s claim again",
                    {
                        "requesting": is_requesting,
                        "same request": table[owner] == daemon,
                        "epoch": epoch == owner,
                    },
                    {f"granted_{daemon}": z3.BoolVal(True)},
                ),
                Step(
                    f"daemon {daemon} releases through owner {owner}",
                    {
                        "denied": denied[daemon],
                        "its claim": table[owner] == daemon,
                        "epoch": epoch == owner,
                    },
                    {f"table_{owner}": z3.IntVal(0), "claimed": z3.IntVal(0)},
                ),
            ]
    for daemon in DAEMONS:
        steps += [
            Step(
                f"daemon {daemon} runs the request",
                {
                    "granted": granted[daemon],
                    "not given up": z3.Not(denied[daemon]),
                    "first run": z3.Not(ran[daemon]),
                },
                {f"ran_{daemon}": z3.BoolVal(True)},
            ),
            Step(
                f"daemon {daemon} gives up and reports that it did not run",
                {"only what was never sent": z3.Not(ran[daemon]), "once": z3.Not(denied[daemon])},
                {f"denied_{daemon}": z3.BoolVal(True)},
            ),
        ]
    variables = {
        "epoch": epoch,
        "claimed": claimed,
        "is_past_deadline": is_past_deadline,
        **{f"table_{owner}": table[owner] for owner in OWNERS},
        **{f"believes_{owner}": believes[owner] for owner in OWNERS},
        **{f"granted_{daemon}": granted[daemon] for daemon in DAEMONS},
        **{f"ran_{daemon}": ran[daemon] for daemon in DAEMONS},
        **{f"denied_{daemon}": denied[daemon] for daemon in DAEMONS},
    }
    initial = {
        name: z3.BoolVal(False) if z3.is_bool(variable) else z3.IntVal(0)
        for name, variable in variables.items()
    }
    no_denied_run = z3.And(*(z3.Not(z3.And(ran[d], denied[d])) for d in DAEMONS))
    return Protocol(
        "claims",
        variables,
        initial,
        tuple(steps),
        {
            "runs at most once": z3.Not(z3.And(*ran.values())),
            "a daemon that reports that it did not run never runs": no_denied_run,
        },
        (
            "batch of the current epoch",
            "not claimed yet",
            "before the deadline",
            "reads the stream before it grants",
            "only what was never sent",
            "not given up",
        ),
    )
