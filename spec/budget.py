"""Budgets: three hosts, a floor of two, racing stewards, failures, paused stewards.

A host's phase is 0 serving, 1 permitted, 2 draining, 3 failed.  Stewards act
on what they saw: ``seen_*`` is the token under which a steward believes that
the host holds a permit.  ``broken`` turns true when an act of the system's own
takes a pool below its floor that held it.
"""

import z3

from spec.protocol import Protocol, Step

HOSTS = (1, 2, 3)
FLOOR = 2
SERVING, PERMITTED, DRAINING, FAILED = range(4)


def make_budget() -> Protocol:
    """Make the protocol."""
    phase = {host: z3.Int(f"phase_{host}") for host in HOSTS}
    token = {host: z3.Int(f"token_{host}") for host in HOSTS}
    seen = {host: z3.Int(f"seen_{host}") for host in HOSTS}
    offset, broken = z3.Int("offset"), z3.Bool("broken")
    serving = sum(z3.If(phase[host] == SERVING, 1, 0) for host in HOSTS)
    steps = []
    for host in HOSTS:
        rest = serving - z3.If(phase[host] == SERVING, 1, 0)
        breaks = z3.And(serving >= FLOOR, rest < FLOOR)
        steps += [
            Step(
                f"permit for host {host}",
                {"serving": phase[host] == SERVING, "budget holds without it": rest >= FLOOR},
                {
                    f"phase_{host}": z3.IntVal(PERMITTED),
                    f"token_{host}": offset,
                    f"seen_{host}": offset,
                    "offset": offset + 1,
                    "broken": z3.Or(broken, breaks),
                },
            ),
            Step(
                f"steward starts the drain of host {host}",
                {
                    "had a permit": seen[host] > 0,
                    "phase is permitted": z3.Or(phase[host] == PERMITTED, phase[host] == SERVING),
                    "current token": z3.And(token[host] == seen[host], phase[host] == PERMITTED),
                },
                {
                    f"phase_{host}": z3.IntVal(DRAINING),
                    f"seen_{host}": z3.IntVal(0),
                    "offset": offset + 1,
                    "broken": z3.Or(broken, breaks),
                },
            ),
            Step(
                f"host {host} returns",
                {"away": z3.Or(phase[host] == DRAINING, phase[host] == FAILED)},
                {
                    f"phase_{host}": z3.IntVal(SERVING),
                    f"token_{host}": offset,
                    "offset": offset + 1,
                },
            ),
            Step(
                f"host {host} fails; unstarted drains are taken back",
                {"not failed": phase[host] != FAILED},
                {
                    "offset": offset + 1,
                    f"phase_{host}": z3.IntVal(FAILED),
                    f"token_{host}": offset,
                    **{
                        f"phase_{other}": z3.If(phase[other] == PERMITTED, SERVING, phase[other])
                        for other in HOSTS
                        if other != host
                    },
                    **{
                        f"token_{other}": z3.If(phase[other] == PERMITTED, offset, token[other])
                        for other in HOSTS
                        if other != host
                    },
                },
            ),
        ]
    variables = {
        **{f"phase_{host}": phase[host] for host in HOSTS},
        **{f"token_{host}": token[host] for host in HOSTS},
        **{f"seen_{host}": seen[host] for host in HOSTS},
        "offset": offset,
        "broken": broken,
    }
    initial = {name: z3.IntVal(0) for name in variables}
    initial |= {"offset": z3.IntVal(1), "broken": z3.BoolVal(False)}
    return Protocol(
        "budget",
        variables,
        initial,
        tuple(steps),
        {"no act of our own breaks a budget": z3.Not(broken)},
        ("budget holds without it", "current token"),
    )
