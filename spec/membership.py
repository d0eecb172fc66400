"""Models of pool membership (one pool per host) and of data halls that lose contact."""

import z3

from spec.protocol import Protocol, Step

POOLS = (1, 2)


def make_membership() -> Protocol:
    """Return the model of concurrent assignments of one host by daemons with stale views."""
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
                f"the assignment to pool {pool} is applied",
                {"requested": seen_free[pool], "free in order": is_unassigned},
                {f"in_{pool}": z3.BoolVal(True), f"seen_free_{pool}": z3.BoolVal(False)},
            ),
            Step(
                f"the assignment to pool {pool} is applied again",
                {"requested": seen_free[pool], "member": is_member[pool]},
                {},
            ),
            Step(
                f"the host is released from pool {pool}",
                {"member": is_member[pool]},
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
    """Return the model of two halls that lose contact while both still reach the log."""
    cut = {hall: z3.Bool(f"cut_{hall}") for hall in POOLS}
    is_disconnected = z3.Bool("is_disconnected")
    steps = [
        Step(
            "the halls lose contact",
            {"once": z3.Not(is_disconnected)},
            {"is_disconnected": z3.BoolVal(True)},
        ),
        Step(
            "the halls regain contact",
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
                {"connected": z3.Not(is_disconnected), "cut": cut[other]},
                {f"cut_{other}": z3.BoolVal(False)},
            ),
        ]
    variables = {**{f"cut_{hall}": cut[hall] for hall in POOLS}, "is_disconnected": is_disconnected}
    return Protocol(
        "halls",
        variables,
        {name: z3.BoolVal(False) for name in variables},
        tuple(steps),
        {"at least one hall continues to claim": z3.Not(z3.And(*cut.values()))},
        ("its own hall is not cut off",),
    )
