"""Transition systems: variables, steps with named guards, and invariants."""

from collections.abc import Mapping
from dataclasses import dataclass

import z3


@dataclass(frozen=True)
class Step:
    """A transition that is enabled when all ``guards`` hold and assigns ``updates``.

    Variables that are not in ``updates`` keep their value.  ``guards`` are keyed by name so
    that a check can remove one.
    """

    name: str
    guards: Mapping[str, z3.BoolRef]
    updates: Mapping[str, z3.ExprRef]


@dataclass(frozen=True)
class Protocol:
    """A protocol over integer and boolean variables.

    ``removable`` names the guards that the invariants depend on: removing any of them must
    violate an invariant.  If ``is_finite``, the reachable states are few enough to visit all.
    """

    name: str
    variables: Mapping[str, z3.ExprRef]
    initial: Mapping[str, z3.ExprRef]
    steps: tuple[Step, ...]
    invariants: Mapping[str, z3.BoolRef]
    removable: tuple[str, ...]
    is_finite: bool = False

    def get_condition(self, step: Step, without: str = "") -> z3.BoolRef:
        """Return the conjunction of the guards of ``step``, except the one named ``without``."""
        return z3.And(*(guard for name, guard in step.guards.items() if name != without))
