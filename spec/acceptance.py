"""Model of job acceptance: the append of a job's record and the outcome reported to its caller.

An append that timed out may still take effect while its writer's epoch is current.  It is
retried under the same stamp, and the store may refuse the retry.
"""

import z3

from spec.protocol import Protocol, Step

NOT_REPORTED, ACCEPTED, REFUSED, UNKNOWN = 0, 1, 2, 3


def make_acceptance() -> Protocol:
    """Return the model of job acceptance."""
    reported_outcome = z3.Int("reported_outcome")
    is_in_flight, is_stored, has_timed_out, has_response = z3.Bools(
        "is_in_flight is_stored has_timed_out has_response"
    )
    true, false = z3.BoolVal(True), z3.BoolVal(False)
    steps = (
        Step(
            "the node sends the append",
            {"no outcome reported": reported_outcome == NOT_REPORTED},
            {"is_in_flight": true},
        ),
        Step("the store writes the record", {"in flight": is_in_flight}, {"is_stored": true}),
        Step(
            "the store's response arrives",
            {"stored": is_stored, "no outcome reported": reported_outcome == NOT_REPORTED},
            {"has_response": true, "is_in_flight": false},
        ),
        Step(
            "the append times out",
            {"in flight": is_in_flight, "no outcome reported": reported_outcome == NOT_REPORTED},
            {"has_timed_out": true},
        ),
        Step(
            "the store refuses an attempt, and the caller receives the refusal",
            {
                "no outcome reported": reported_outcome == NOT_REPORTED,
                "not stored by this attempt": z3.Not(is_stored),
                "no earlier attempt has timed out": z3.Not(has_timed_out),
            },
            {"reported_outcome": z3.IntVal(REFUSED), "is_in_flight": has_timed_out},
        ),
        Step(
            "the caller receives the acceptance",
            {
                "no outcome reported": reported_outcome == NOT_REPORTED,
                "the store has responded": has_response,
            },
            {"reported_outcome": z3.IntVal(ACCEPTED)},
        ),
        Step(
            "the caller receives an unknown outcome",
            {"no outcome reported": reported_outcome == NOT_REPORTED, "timed out": has_timed_out},
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
            "a refused job is never stored": z3.Implies(
                reported_outcome == REFUSED, z3.Not(is_stored)
            ),
            "an accepted job is stored": z3.Implies(reported_outcome == ACCEPTED, is_stored),
        },
        ("no earlier attempt has timed out", "the store has responded"),
    )
