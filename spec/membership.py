"""One pool a host, and halls that lose each other."""

import z3

from spec.protocol import Protocol, Step

POOLS = (1, 2)


def make_membership() -> Protocol:
    """Make the protocol: operators race for a host on two daemons' stale views."""
    is_member = {pool: z3.Bool(f"in_{pool}") for pool in POOLS}
    seen_free = {pool: z3.Bool(f"seen_free_{pool}") for pool in POOLS}
    steps = []
    for pool in POOLS:
        is_unassigned = z3.Not(z3.Or(*is_member.values()))
        steps += [
            Step(
                f"a daemon sees the host free for pool {pool}",
                {"free": is_unassigned},
                {f"seen_free_{pool}": z3.BoolVal(True)},
            ),
            Step(
                f"the assignment to pool {pool} is folded",
                {"asked": seen_free[pool], "free in order": is_unassigned},
                {f"in_{pool}": z3.BoolVal(True), f"seen_free_{pool}": z3.BoolVal(False)},
            ),
            Step(
                f"the assignment to pool {pool} is folded again",
                {"asked": seen_free[pool], "there": is_member[pool]},
                {},
            ),
            Step(
                f"the host is released from pool {pool}",
                {"there": is_member[pool]},
                {f"in_{pool}": z3.BoolVal(False)},
            ),
        ]
    variables = {
        **{f"in_{pool}": is_member[pool] for pool in POOLS},
        **{f"seen_free_{pool}": seen_free[pool] for pool in POOLS},
    }
    return Protocol(
        "membership",
        variables,
        {name: z3.BoolVal(False) for name in variables},
        tuple(steps),
        {"a host belongs to one pool": z3.Not(z3.And(*is_member.values()))},
        ("free in order",),
    )


def make_halls() -> Protocol:
    """Make the protocol of two halls that lose each other and both reach the log."""
    cut = {hall: z3.Bool(f"cut_{hall}") for hall in POOLS}
    is_disconnected = z3.Bool("is_disconnected")
    steps = [
        Step(
            "the halls lose each other",
            {"once": z3.Not(is_disconnected)},
            {"is_disconnected": z3.BoolVal(True)},
        ),
        Step(
            "they hear each other again",
            {"disconnected": is_disconnected},
            {"is_disconnected": z3.BoolVal(False)},
        ),
    ]
    for hall, other in ((1, 2), (2, 1)):
        steps += [
            Step(
                f"hall {hall} records that hall {other} is cut off",
                {
                    "disconnected": is_disconnected,
                    "its own hall is not cut off": z3.Not(cut[hall]),
                },
                {f"cut_{other}": z3.BoolVal(True)},
            ),
            Step(
                f"hall {hall} records that hall {other} is healed",
                {"heard": z3.Not(is_disconnected), "cut": cut[other]},
                {f"cut_{other}": z3.BoolVal(False)},
            ),
        ]
    variables = {**{f"cut_{hall}": cut[hall] for hall in POOLS}, "is_disconnected": is_disconnected}
    return Protocol(
        "halls",
        variables,
        {name: z3.BoolVal(False) for name in variables},
        tuple(steps),
        {"one hall at least goes on claiming": z3.Not(z3.And(*cut.values()))},
        ("its own hall is not cut off",),
    )
