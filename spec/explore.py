"""Proof of an invariant of a finite protocol by breadth-first search of its states."""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

import z3

from spec.protocol import Protocol

# Well above the state count of any finite protocol here; a search that exceeds it is taken
# to be infinite.
STATES_MAX = 3_000_000

State = tuple[int, ...]
_OPERATORS: Mapping[int, str] = {
    z3.Z3_OP_AND: " and ",
    z3.Z3_OP_OR: " or ",
    z3.Z3_OP_EQ: " == ",
    z3.Z3_OP_LE: " <= ",
    z3.Z3_OP_GE: " >= ",
    z3.Z3_OP_LT: " < ",
    z3.Z3_OP_GT: " > ",
    z3.Z3_OP_ADD: " + ",
    z3.Z3_OP_SUB: " - ",
}
_CONSTANTS: Mapping[int, str] = {z3.Z3_OP_TRUE: "True", z3.Z3_OP_FALSE: "False"}


def explore(protocol: Protocol, invariant: str) -> bool:
    """Return whether the invariant holds in every reachable state.

    Raises ``ValueError`` if there are more than ``STATES_MAX`` reachable states.
    """
    names = tuple(protocol.variables)
    steps = [
        (
            _compile(protocol.get_condition(step), names),
            _compile_all(
                [step.updates.get(name, protocol.variables[name]) for name in names], names
            ),
        )
        for step in protocol.steps
    ]
    holds = _compile(protocol.invariants[invariant], names)
    initial: State = _compile_all([protocol.initial[name] for name in names], names)(())
    seen, pending = {initial}, deque([initial])
    while pending:
        state = pending.popleft()
        if not holds(state):
            return False
        for is_enabled, apply in steps:
            if is_enabled(state) and (after := apply(state)) not in seen:
                seen.add(after)
                pending.append(after)
        if len(seen) > STATES_MAX:
            raise ValueError(f"{protocol.name} has more than {STATES_MAX} reachable states")
    return True


def _compile(expression: z3.ExprRef, names: tuple[str, ...]) -> Callable[[State], Any]:
    """Compile an expression over the variables to a function of a state."""
    function: Callable[[State], Any] = eval(f"lambda s: {_to_python(expression, names)}")
    return function


def _compile_all(expressions: list[z3.ExprRef], names: tuple[str, ...]) -> Callable[[State], State]:
    texts = "".join(f"int({_to_python(each, names)})," for each in expressions)
    function: Callable[[State], State] = eval(f"lambda s: ({texts})")
    return function


def _to_python(expression: z3.ExprRef, names: tuple[str, ...]) -> str:
    """Return the Python source of an expression; variables are items of ``s``."""
    if z3.is_int_value(expression):
        return str(expression.as_long())  # type: ignore[attr-defined]
    kind = expression.decl().kind()
    if kind in _CONSTANTS:
        return _CONSTANTS[kind]
    if kind == z3.Z3_OP_UNINTERPRETED:
        return f"s[{names.index(str(expression))}]"
    parts = [_to_python(part, names) for part in expression.children()]
    if kind == z3.Z3_OP_NOT:
        return f"(not {parts[0]})"
    if kind == z3.Z3_OP_ITE:
        return f"({parts[1]} if {parts[0]} else {parts[2]})"
    if kind == z3.Z3_OP_DISTINCT:
        return f"({parts[0]} != {parts[1]})"
    return f"({_OPERATORS[kind].join(parts) or 'True'})"
