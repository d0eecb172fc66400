"""Verify every protocol model: prove its invariants and show that each guard is necessary."""

import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from spec.acceptance import make_acceptance
from spec.budget import make_budget
from spec.check import TraceStep, find_counterexample, prove
from spec.claims import make_claims
from spec.crashing import make_crashing
from spec.evacuation import make_evacuation
from spec.explore import explore
from spec.fencing import make_fencing
from spec.incarnations import make_incarnations
from spec.leases import make_leases
from spec.membership import make_halls, make_membership
from spec.occurrences import make_occurrences
from spec.ownership import make_ownership
from spec.restart import make_restart
from spec.sharing import make_falling_limit, make_sharing

PROTOCOLS = {
    "claims": make_claims,
    "budget": make_budget,
    "fencing": make_fencing,
    "membership": make_membership,
    "halls": make_halls,
    "restart": make_restart,
    "incarnations": make_incarnations,
    "leases": make_leases,
    "acceptance": make_acceptance,
    "ownership": make_ownership,
    "occurrences": make_occurrences,
    "crashing": make_crashing,
    "evacuation": make_evacuation,
    "sharing": make_sharing,
    "falling limit": make_falling_limit,
}


@dataclass(frozen=True)
class Check:
    """An invariant to prove, or a guard whose removal must violate an invariant."""

    protocol: str
    invariant: str = ""
    guard: str = ""


@dataclass(frozen=True)
class CheckResult:
    """The outcome of a check, with the counterexample if a guard was removed."""

    check: Check
    is_expected: bool
    text: str
    trace: tuple[TraceStep, ...] = ()


def main() -> int:
    """Run all checks; return 0 if every invariant is proved and every guard is necessary."""
    protocols = {name: make() for name, make in PROTOCOLS.items()}
    checks = [
        check
        for name, protocol in protocols.items()
        for check in (
            *(Check(name, invariant=invariant) for invariant in protocol.invariants),
            *(Check(name, guard=guard) for guard in protocol.removable),
        )
    ]
    with ProcessPoolExecutor() as executor:
        results = list(executor.map(run_check, checks))
    for result in results:
        print(result.text)
        for number, step in enumerate(result.trace, 1):
            print(f"    {number}. {step}")
    return int(not all(result.is_expected for result in results))


def run_check(check: Check) -> CheckResult:
    """Run one check; called in a worker process."""
    protocol = PROTOCOLS[check.protocol]()
    if check.invariant:
        verify = explore if protocol.is_finite else prove
        is_proved = verify(protocol, check.invariant)
        verdict = "proved" if is_proved else "NOT PROVED"
        return CheckResult(check, is_proved, f"{protocol.name}: {check.invariant}: {verdict}")
    broken, trace = find_counterexample(protocol, without=check.guard)
    text = f"{protocol.name} without '{check.guard}': breaks '{broken or 'NOTHING'}'"
    return CheckResult(check, bool(broken), text, tuple(trace))


if __name__ == "__main__":
    sys.exit(main())
