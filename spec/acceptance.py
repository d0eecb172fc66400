"""A job's record on its way to the store, and what its caller is told.

An append without answer may be carried out at any time while its writer's epoch
stands.  It is made again under the same stamp, and may then be refused.
"""

import z3

from spec.protocol import Protocol, Step

NOT_REPORTED, ACCEPTED, REFUSED, UNKNOWN = 0, 1, 2, 3


def make_acceptance() -> Protocol:
    """Make the protocol."""
    reported_outcome = z3.Int("reported_outcome")
    is_in_flight, is_stored, has_timed_out, has_response = z3.Bools(
        "is_in_flight is_stored has_timed_out has_response"
    )
    true, false = z3.BoolVal(True), z3.BoolVal(False)
    steps = (
        Step(
            "the node sends the append",
            {"told nothing": reported_outcome == NOT_REPORTED},
            {"is_in_flight": true},
        ),
        Step("the store keeps the record", {"under way": is_in_flight}, {"is_stored": true}),
        Step(
            "the store's answer arrives",
            {"kept": is_stored, "told nothing": reported_outcome == NOT_REPORTED},
            {"has_response": true, "is_in_flight": false},
        ),
        Step(
            "no answer comes in time",
            {"under way": is_in_flight, "told nothing": reported_outcome == NOT_REPORTED},
            {"has_timed_out": true},
        ),
        Step(
            "the store refuses a try, and the caller is told so",
            {
                "told nothing": reported_outcome == NOT_REPORTED,
                "not kept by this try": z3.Not(is_stored),
                "no earlier try is unanswered": z3.Not(has_timed_out),
            },
            {"reported_outcome": z3.IntVal(REFUSED), "is_in_flight": has_timed_out},
        ),
        Step(
            "the caller is told that the job is accepted",
            {
                "told nothing": reported_outcome == NOT_REPORTED,
                "the store has answered": has_response,
            },
            {"reported_outcome": z3.IntVal(ACCEPTED)},
        ),
        Step(
            "the caller is told that the outcome is unknown",
            {"told nothing": reported_outcome == NOT_REPORTED, "unanswered": has_timed_out},
            {"reported_outcome": z3.IntVal(UNKNOWN)},
        ),
    )
    variables = {
        "reported_outcome": reported_outcome,
        "is_in_flight": is_in_flight,
        "is_stored": is_stored,
        "has_timed_out": has_timed_out,
        "has_response": has_response,
    }
    initial = {
        name: false if z3.is_bool(variable) else z3.IntVal(NOT_REPORTED)
        for name, variable in variables.items()
    }
    return Protocol(
        "acceptance",
        variables,
        initial,
        steps,
        {
            "a job that was refused is never kept": z3.Implies(
                reported_outcome == REFUSED, z3.Not(is_stored)
            ),
            "a job that was accepted is kept": z3.Implies(reported_outcome == ACCEPTED, is_stored),
        },
        ("no earlier try is unanswered", "the store has answered"),
    )
