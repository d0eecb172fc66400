"""Proof of invariants over all reachable states with Z3, and search for counterexamples."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import z3

from spec.protocol import Protocol, Step

DEPTH_MAX = 26


@dataclass(frozen=True)
class TraceStep:
    """One step of a counterexample with the new values of the variables that it changed."""

    name: str
    changes: dict[str, str]

    def __str__(self) -> str:
        changed = ", ".join(f"{name}={value}" for name, value in self.changes.items())
        return f"{self.name}: {changed}"


def prove(protocol: Protocol, invariant: str) -> bool:
    """Return whether the invariant holds in every reachable state, at any depth."""
    engine = z3.Fixedpoint()
    engine.set(engine="spacer")
    names = tuple(protocol.variables)
    sorts = [protocol.variables[name].sort() for name in names]
    reached = z3.Function("reached", *sorts, z3.BoolSort())
    failed = z3.Function("failed", z3.BoolSort())
    engine.register_relation(reached, failed)
    engine.declare_var(*protocol.variables.values())
    engine.rule(reached(*(protocol.initial[name] for name in names)))
    is_reached = reached(*protocol.variables.values())
    for step in protocol.steps:
        after = [step.updates.get(name, protocol.variables[name]) for name in names]
        engine.rule(reached(*after), [is_reached, protocol.get_condition(step)])
    engine.rule(failed(), [is_reached, z3.Not(protocol.invariants[invariant])])
    return engine.query(failed()) == z3.unsat


def find_counterexample(protocol: Protocol, without: str = "") -> tuple[str, list[TraceStep]]:
    """Return a violated invariant and a shortest trace to it, without the guard ``without``.

    Returns "" and an empty trace if no trace of fewer than ``DEPTH_MAX`` steps violates one.
    """
    solver = z3.Solver()
    states = [_make_state(protocol, 0)]
    choices: list[z3.ArithRef] = []
    solver.add(*(states[0][name] == value for name, value in protocol.initial.items()))
    for depth in range(DEPTH_MAX):
        for name, invariant in protocol.invariants.items():
            solver.push()
            solver.add(z3.Not(_substitute(protocol, invariant, states[depth])))
            if solver.check() == z3.sat:
                return name, list(_iter_trace(protocol, solver.model(), states, choices))
            solver.pop()
        states.append(_make_state(protocol, depth + 1))
        choices.append(z3.Int(f"step_{depth}"))
        solver.add(
            z3.Or(
                *(
                    z3.And(
                        choices[depth] == index,
                        _make_transition(protocol, step, without, states[depth], states[depth + 1]),
                    )
                    for index, step in enumerate(protocol.steps)
                )
            )
        )
    return "", []


def _make_state(protocol: Protocol, depth: int) -> dict[str, Any]:
    return {
        name: z3.Const(f"{name}_{depth}", variable.sort())
        for name, variable in protocol.variables.items()
    }


def _substitute(protocol: Protocol, expression: z3.ExprRef, state: dict[str, Any]) -> Any:
    pairs = [(variable, state[name]) for name, variable in protocol.variables.items()]
    return z3.substitute(expression, *pairs)


def _make_transition(
    protocol: Protocol, step: Step, without: str, before: dict[str, Any], after: dict[str, Any]
) -> z3.BoolRef:
    updates = [
        after[name] == _substitute(protocol, step.updates.get(name, variable), before)
        for name, variable in protocol.variables.items()
    ]
    return z3.And(_substitute(protocol, protocol.get_condition(step, without), before), *updates)


def _iter_trace(
    protocol: Protocol,
    model: z3.ModelRef,
    states: list[dict[str, Any]],
    choices: list[z3.ArithRef],
) -> Iterator[TraceStep]:
    def read(state: dict[str, Any]) -> dict[str, str]:
        return {
            name: str(model.eval(value, model_completion=True)) for name, value in state.items()
        }

    for depth, choice in enumerate(choices):
        step = protocol.steps[model.eval(choice, model_completion=True).as_long()]
        before, after = read(states[depth]), read(states[depth + 1])
        yield TraceStep(
            step.name, {name: after[name] for name in after if after[name] != before[name]}
        )
