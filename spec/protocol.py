"""Transition relations: variables, steps with named guards, invariants."""

from collections.abc import Mapping
from dataclasses import dataclass

import z3


@dataclass(frozen=True)
class Step:
    """A step: it may be taken where all ``guards`` hold, and assigns ``updates``.

    Variables that ``updates`` does not name keep their value.  ``guards`` are
    by name, so that one can be taken out.
    """

    name: str
    guards: Mapping[str, z3.BoolRef]
    updates: Mapping[str, z3.ExprRef]


@dataclass(frozen=True)
class Protocol:
    """A protocol over integer and boolean variables.

    ``removable`` names the guards that the protocol's safety rests on.  One that ``is_finite``
    has few reachable states, all of which are visited.
    """

    name: str
    variables: Mapping[str, z3.ExprRef]
    initial: Mapping[str, z3.ExprRef]
    steps: tuple[Step, ...]
    invariants: Mapping[str, z3.BoolRef]
    removable: tuple[str, ...]
    is_finite: bool = False

    def get_condition(self, step: Step, without: str = "") -> z3.BoolRef:
        """Return when ``step`` may be taken, with the guard ``without`` taken out."""
        return z3.And(*(guard for name, guard in step.guards.items() if name != without))
