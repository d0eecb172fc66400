"""Proof by exhaustive search of the states of a protocol."""

from dataclasses import replace

from spec.explore import explore
from spec.protocol import Protocol
from spec.sharing import INVARIANT, make_falling_limit, make_sharing
from testtools import TestCase


def remove_guard(protocol: Protocol, guard: str) -> Protocol:
    """Return the protocol without the guard in any of its steps."""
    steps = (
        replace(step, guards={name: each for name, each in step.guards.items() if name != guard})
        for step in protocol.steps
    )
    return replace(protocol, steps=tuple(steps))


class ExploreTest(TestCase):
    def test_invariants_hold_and_are_violated_when_a_guard_is_removed(self) -> None:
        for protocol in (make_sharing(), make_falling_limit()):
            self.assertTrue(explore(protocol, INVARIANT))
            for guard in protocol.removable:
                self.assertFalse(explore(remove_guard(protocol, guard), INVARIANT), guard)
