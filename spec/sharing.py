"""Models of a workspace's limit that is allocated to two pools as shares.

They cover a replaced allocator, new owners, lost and late messages, and a limit that falls.
``share_*`` is the share of a pool that its owner applies, 0 for a new owner until it receives
one.  ``used_*`` is the recorded usage in the pool, which a new owner reads.  ``bound_*`` is the
largest share that the pool may have, as far as its allocator knows.  ``pending_share_*`` is a
share in transit to the pool, which may be lost.  ``is_over_limit`` becomes true when a
start brings the workspace over its limit.
"""

from collections.abc import Mapping

import z3

from spec.protocol import Protocol, Step

LIMIT, RESERVED, FALLEN = 3, 1, 1
POOLS = (1, 2)
NO_MESSAGE = -1
INVARIANT = "no start brings a workspace over its limit"
RISE_GUARD = "rises only by capacity that no pool holds"
WAIT_GUARD = "waits until it has received a share"


def make_sharing() -> Protocol:
    """Return the model of two allocators, the first of which may not know that it was replaced.

    ``from_*`` is true if the second allocator sent the share in transit, ``fence_*`` if the
    pool accepts shares only from the second.  ``RESERVED`` units of the limit belong to each
    pool and are never allocated to the other.
    """
    share, used, bound, pending_share = _make_ints("share", "used", "bound", "pending_share")
    sender, fence = _make_bools("from", "fence")
    is_replaced, is_over_limit = z3.Bools("is_replaced is_over_limit")
    steps = [
        Step("a second allocator takes over", {"once": z3.Not(is_replaced)}, {"is_replaced": _TRUE})
    ]
    for pool in POOLS:
        other = sum(POOLS) - pool
        for to in range(LIMIT):
            steps += [
                Step(
                    f"the first allocator sends pool {pool} a share of {to}",
                    {
                        "no share in transit": pending_share[pool] == NO_MESSAGE,
                        "knows of no other allocator": z3.Not(fence[pool]),
                        RISE_GUARD: to + _get_held_max(used, bound, other) <= LIMIT,
                        "leaves the reserved part of the other pool": to <= LIMIT - RESERVED,
                    },
                    {
                        f"pending_share_{pool}": z3.IntVal(to),
                        f"from_{pool}": _FALSE,
                        f"bound_{pool}": _get_max(bound[pool], to),
                    },
                ),
                Step(
                    f"the second allocator sends pool {pool} a share of {to}",
                    {
                        "this pool has reported": fence[pool],
                        "no share in transit": pending_share[pool] == NO_MESSAGE,
                        "all pools have reported before a share above the reserved part": z3.Or(
                            fence[other], to <= RESERVED
                        ),
                        RISE_GUARD: z3.Or(
                            z3.Not(fence[other]), to + _get_held_max(used, bound, other) <= LIMIT
                        ),
                        "leaves the reserved part of the other pool": to <= LIMIT - RESERVED,
                    },
                    {
                        f"pending_share_{pool}": z3.IntVal(to),
                        f"from_{pool}": _TRUE,
                        f"bound_{pool}": _get_max(bound[pool], to),
                    },
                ),
            ]
        steps += [
            Step(
                f"pool {pool} reports to the second allocator and stops accepting the first",
                {"has taken over": is_replaced, "not reported": z3.Not(fence[pool])},
                {f"fence_{pool}": _TRUE, f"bound_{pool}": share[pool]},
            ),
            Step(
                f"pool {pool} applies the share in transit",
                {
                    "share in transit": pending_share[pool] != NO_MESSAGE,
                    "accepts no earlier allocator": z3.Or(sender[pool], z3.Not(fence[pool])),
                },
                {
                    f"share_{pool}": pending_share[pool],
                    f"pending_share_{pool}": z3.IntVal(NO_MESSAGE),
                    f"bound_{pool}": z3.If(
                        sender[pool] == fence[pool], pending_share[pool], bound[pool]
                    ),
                },
            ),
            *_make_pool_steps(pool, share, used, pending_share, z3.IntVal(LIMIT), {}),
        ]
    return _make_protocol(
        "sharing",
        (share, used, bound, pending_share, sender, fence),
        {"is_replaced": is_replaced, "is_over_limit": is_over_limit},
        steps,
        (
            RISE_GUARD,
            "all pools have reported before a share above the reserved part",
            "accepts no earlier allocator",
            WAIT_GUARD,
        ),
    )


def make_falling_limit() -> Protocol:
    """Return the model of one allocator and a limit that falls once.

    ``new_*`` is true if the share in transit was allocated after the fall, ``settled_*`` if
    the pool applies such a share and has reported its usage.
    """
    share, used, bound, pending_share = _make_ints("share", "used", "bound", "pending_share")
    settled, is_new = _make_bools("settled", "new")
    is_fallen, is_over_limit = z3.Bools("is_fallen is_over_limit")
    current_limit = z3.If(is_fallen, FALLEN, LIMIT)
    steps = [Step("the limit falls", {"once": z3.Not(is_fallen)}, {"is_fallen": _TRUE})]
    for pool in POOLS:
        other = sum(POOLS) - pool
        steps += [
            Step(
                f"the allocator sends pool {pool} a share of {to}",
                {
                    "no share in transit": pending_share[pool] == NO_MESSAGE,
                    RISE_GUARD: z3.Or(
                        to == 0,
                        # After a fall, the other pool's usage is unknown until it settles.
                        to
                        + z3.If(
                            z3.And(is_fallen, z3.Not(settled[other])),
                            bound[other],
                            _get_held_max(used, bound, other),
                        )
                        <= current_limit,
                    ),
                    "after a fall, only when all pools have settled": z3.Or(
                        z3.Not(is_fallen), to == 0, z3.And(settled[1], settled[2])
                    ),
                },
                {
                    f"pending_share_{pool}": z3.IntVal(to),
                    f"new_{pool}": is_fallen,
                    f"bound_{pool}": _get_max(bound[pool], to),
                },
            )
            for to in range(LIMIT)
        ]
        steps += [
            Step(
                f"pool {pool} applies the share in transit",
                {"share in transit": pending_share[pool] != NO_MESSAGE},
                {
                    f"share_{pool}": pending_share[pool],
                    f"pending_share_{pool}": z3.IntVal(NO_MESSAGE),
                    f"bound_{pool}": pending_share[pool],
                    f"settled_{pool}": is_new[pool],
                },
            ),
            *_make_pool_steps(
                pool,
                share,
                used,
                pending_share,
                current_limit,
                {"the share was allocated after the fall": z3.Or(z3.Not(is_fallen), settled[pool])},
            ),
        ]
    return _make_protocol(
        "falling limit",
        (share, used, bound, pending_share, settled, is_new),
        {"is_fallen": is_fallen, "is_over_limit": is_over_limit},
        steps,
        (
            RISE_GUARD,
            "after a fall, only when all pools have settled",
            "the share was allocated after the fall",
        ),
    )


Variables = Mapping[int, z3.ArithRef]
_TRUE, _FALSE = z3.BoolVal(True), z3.BoolVal(False)


def _make_ints(*names: str) -> list[Variables]:
    return [{pool: z3.Int(f"{name}_{pool}") for pool in POOLS} for name in names]


def _make_bools(*names: str) -> list[Mapping[int, z3.BoolRef]]:
    return [{pool: z3.Bool(f"{name}_{pool}") for pool in POOLS} for name in names]


def _get_max(one: z3.ArithRef, other: z3.ArithRef | int) -> z3.ArithRef:
    return z3.If(one > other, one, other)


def _get_held_max(used: Variables, bound: Variables, pool: int) -> z3.ArithRef:
    """Return the most that a pool may hold: the larger of its usage and its bound."""
    return _get_max(used[pool], bound[pool])


def _make_pool_steps(
    pool: int,
    share: Variables,
    used: Variables,
    pending_share: Variables,
    current_limit: z3.ArithRef,
    guards: Mapping[str, z3.BoolRef],
) -> tuple[Step, ...]:
    """Return the steps of a pool's successive owners."""
    is_over_limit = z3.Bool("is_over_limit")
    return (
        Step(
            f"the share in transit to pool {pool} is lost",
            {"share in transit": pending_share[pool] != NO_MESSAGE},
            {f"pending_share_{pool}": z3.IntVal(NO_MESSAGE)},
        ),
        Step(
            f"pool {pool} starts a task of the workspace",
            {"within its share": used[pool] + 1 <= share[pool], **guards},
            {
                f"used_{pool}": used[pool] + 1,
                "is_over_limit": z3.Or(is_over_limit, used[1] + used[2] + 1 > current_limit),
            },
        ),
        Step(
            f"a task ends in pool {pool}",
            {"running": used[pool] > 0},
            {f"used_{pool}": used[pool] - 1},
        ),
        Step(
            f"pool {pool} gets a new owner, which reads the usage and waits for a share",
            {},
            {f"share_{pool}": z3.IntVal(0)},
        ),
        Step(
            f"pool {pool} gets a new owner, which applies the whole limit as its share",
            {WAIT_GUARD: _FALSE},
            {f"share_{pool}": z3.IntVal(LIMIT)},
        ),
    )


def _make_protocol(
    name: str,
    by_pool: tuple[Mapping[int, z3.ExprRef], ...],
    others: Mapping[str, z3.ExprRef],
    steps: list[Step],
    removable: tuple[str, ...],
) -> Protocol:
    variables = {
        str(variable_by_pool[pool]): variable_by_pool[pool]
        for variable_by_pool in by_pool
        for pool in POOLS
    } | dict(others)
    initial: dict[str, z3.ExprRef] = {
        name: _FALSE if z3.is_bool(variable) else z3.IntVal(0)
        for name, variable in variables.items()
    }
    initial |= {f"pending_share_{pool}": z3.IntVal(NO_MESSAGE) for pool in POOLS}
    return Protocol(
        name,
        variables,
        initial,
        tuple(steps),
        {INVARIANT: z3.Not(z3.Bool("is_over_limit"))},
        removable,
        is_finite=True,
    )
