"""A job's record on its way to the store, and what its caller is told.

An append without answer may be carried out at any time while its writer's epoch
stands.  It is made again under the same stamp, and may then be refused.
"""

import z3

from spec.protocol import Protocol, Step

NOTHING, ACCEPTED, REFUSED, UNKNOWN = 0, 1, 2, 3


def make_acceptance() -> Protocol:
    """Make the protocol."""
    told = z3.Int("told")
    is_under_way, is_kept, is_unanswered, has_answer = z3.Bools(
        "is_under_way is_kept is_unanswered has_answer"
    )
    true, false = z3.BoolVal(True), z3.BoolVal(False)
    steps = (
        Step(
            "the node sends the append", {"told nothing": told == NOTHING}, {"is_under_way": true}
        ),
        Step("the store keeps the record", {"under way": is_under_way}, {"is_kept": true}),
        Step(
            "the store's answer arrives",
            {"kept": is_kept, "told nothing": told == NOTHING},
            {"has_answer": true, "is_under_way": false},
        ),
        Step(
            "no answer comes in time",
            {"under way": is_under_way, "told nothing": told == NOTHING},
            {"is_unanswered": true},
        ),
        Step(
            "the store refuses a try, and the caller is told so",
            {
                "told nothing": told == NOTHING,
                "not kept by this try": z3.Not(is_kept),
                "no earlier try is unanswered": z3.Not(is_unanswered),
            },
            {"told": z3.IntVal(REFUSED), "is_under_way": is_unanswered},
        ),
        Step(
            "the caller is told that the job is accepted",
            {"told nothing": told == NOTHING, "the store has answered": has_answer},
            {"told": z3.IntVal(ACCEPTED)},
        ),
        Step(
            "the caller is told that the outcome is unknown",
            {"told nothing": told == NOTHING, "unanswered": is_unanswered},
            {"told": z3.IntVal(UNKNOWN)},
        ),
    )
    variables = {
        "told": told,
        "is_under_way": is_under_way,
        "is_kept": is_kept,
        "is_unanswered": is_unanswered,
        "has_answer": has_answer,
    }
    initial = {
        name: false if z3.is_bool(variable) else z3.IntVal(NOTHING)
        for name, variable in variables.items()
    }
    return Protocol(
        "acceptance",
        variables,
        initial,
        steps,
        {
            "a job that was refused is never kept": z3.Implies(told == REFUSED, z3.Not(is_kept)),
            "a job that was accepted is kept": z3.Implies(told == ACCEPTED, is_kept),
        },
        ("no earlier try is unanswered", "the store has answered"),
    )
