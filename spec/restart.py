"""Snapshots and restart: never backwards, never past a gap.

``head`` is the log's end, ``first`` its oldest record, ``snapshot`` the offset
of the newest snapshot, ``peer`` and ``applied`` what two daemons have folded.
``went_back`` turns true where a living daemon's offset falls, ``has_gap``
where it folds a record whose predecessor it lacks.
"""

import z3

from spec.protocol import Protocol, Step


def make_restart() -> Protocol:
    """Make the protocol."""
    head, first, snapshot, applied, peer = z3.Ints("head first snapshot applied peer")
    is_new, went_back, has_gap = z3.Bools("is_new went_back has_gap")
    false = z3.BoolVal(False)
    steps = (
        Step("a record is appended", {}, {"head": head + 1}),
        Step("the peer folds to the end", {}, {"peer": head}),
        Step("the peer writes a snapshot", {"ahead": peer > snapshot}, {"snapshot": peer}),
        Step(
            "the log lets its oldest record go",
            {
                "a snapshot covers it": first < snapshot,
                "there is one": first < head,
            },
            {"first": first + 1},
        ),
        Step(
            "the daemon folds the next record",
            {"there is one": applied < head, "the log still holds it": applied >= first},
            {
                "applied": applied + 1,
                "is_new": false,
                "has_gap": z3.Or(has_gap, applied < first),
            },
        ),
        Step(
            "the daemon is replaced and starts with nothing",
            {},
            {"applied": z3.IntVal(0), "is_new": z3.BoolVal(True)},
        ),
        Step(
            "the daemon takes the newest snapshot",
            {"only if ahead": snapshot >= applied},
            {
                "applied": snapshot,
                "went_back": z3.Or(went_back, z3.And(z3.Not(is_new), snapshot < applied)),
            },
        ),
        Step(
            "the daemon takes the peer's state",
            {"only if ahead": peer >= applied},
            {
                "applied": peer,
                "went_back": z3.Or(went_back, z3.And(z3.Not(is_new), peer < applied)),
            },
        ),
    )
    variables = {
        "head": head,
        "first": first,
        "snapshot": snapshot,
        "applied": applied,
        "peer": peer,
        "is_new": is_new,
        "went_back": went_back,
        "has_gap": has_gap,
    }
    initial = {
        name: false if z3.is_bool(variable) else z3.IntVal(0)
        for name, variable in variables.items()
    }
    return Protocol(
        "restart",
        variables,
        initial,
        steps,
        {
            "a living daemon's state never goes back": z3.Not(went_back),
            "no record is skipped": z3.Not(has_gap),
            "a snapshot covers what the log let go": first <= snapshot,
        },
        ("only if ahead", "the log still holds it", "a snapshot covers it"),
    )
