"""Model of snapshots and restart: a daemon's offset never decreases and skips no record.

``head`` is the end of the log, ``first`` its oldest record, ``snapshot`` the offset of the
newest snapshot; ``peer`` and ``applied`` are the offsets up to which two daemons have applied
records.  ``went_back`` becomes true when the offset of a running daemon decreases, ``has_gap``
when it applies a record without the preceding one.
"""

import z3

from spec.protocol import Protocol, Step


def make_restart() -> Protocol:
    """Return the model of snapshots and restart."""
    head, first, snapshot, applied, peer = z3.Ints("head first snapshot applied peer")
    is_new, went_back, has_gap = z3.Bools("is_new went_back has_gap")
    false = z3.BoolVal(False)
    steps = (
        Step("a record is appended", {}, {"head": head + 1}),
        Step("the peer applies all records", {}, {"peer": head}),
        Step("the peer writes a snapshot", {"ahead": peer > snapshot}, {"snapshot": peer}),
        Step(
            "the log drops its oldest record",
            {
                "a snapshot covers it": first < snapshot,
                "there is a record": first < head,
            },
            {"first": first + 1},
        ),
        Step(
            "the daemon applies the next record",
            {"there is a record": applied < head, "the log still contains it": applied >= first},
            {
                "applied": applied + 1,
                "is_new": false,
                "has_gap": z3.Or(has_gap, applied < first),
            },
        ),
        Step(
            "the daemon is replaced and starts with an empty state",
            {},
            {"applied": z3.IntVal(0), "is_new": z3.BoolVal(True)},
        ),
        Step(
            "the daemon loads the newest snapshot",
            {"only if ahead": snapshot >= applied},
            {
                "applied": snapshot,
                "went_back": z3.Or(went_back, z3.And(z3.Not(is_new), snapshot < applied)),
            },
        ),
        Step(
            "the daemon loads the peer's state",
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
            "the state of a running daemon never goes back": z3.Not(went_back),
            "no record is skipped": z3.Not(has_gap),
            "a snapshot covers the records that the log dropped": first <= snapshot,
        },
        ("only if ahead", "the log still contains it", "a snapshot covers it"),
    )
