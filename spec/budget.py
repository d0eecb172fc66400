"""Model of pool budgets: three hosts, at least two serving, concurrent stewards that may be paused.

A host's phase is 0 serving, 1 permitted, 2 draining, 3 failed.  Stewards act on a possibly
stale view: ``permit_token_*`` is the token under which a steward believes that the host holds
a drain permit, 0 for none.  ``is_floor_broken`` becomes true when an action of the system takes
a pool that met its floor below it; a host failure does not count.
"""

import z3

from spec.protocol import Protocol, Step

HOSTS = (1, 2, 3)
FLOOR = 2
SERVING, PERMITTED, DRAINING, FAILED = range(4)


def make_budget() -> Protocol:
    """Return the model of a pool's budget."""
    phase = {host: z3.Int(f"phase_{host}") for host in HOSTS}
    token = {host: z3.Int(f"token_{host}") for host in HOSTS}
    permit_token = {host: z3.Int(f"permit_token_{host}") for host in HOSTS}
    offset, is_floor_broken = z3.Int("offset"), z3.Bool("is_floor_broken")
    serving_count = sum(z3.If(phase[host] == SERVING, 1, 0) for host in HOSTS)
    steps = []
    for host in HOSTS:
        serving_without = serving_count - z3.If(phase[host] == SERVING, 1, 0)
        breaks = z3.And(serving_count >= FLOOR, serving_without < FLOOR)
        steps += [
            Step(
                f"permit for host {host}",
                {
                    "serving": phase[host] == SERVING,
                    "budget holds without it": serving_without >= FLOOR,
                },
                {
                    f"phase_{host}": z3.IntVal(PERMITTED),
                    f"token_{host}": offset,
                    f"permit_token_{host}": offset,
                    "offset": offset + 1,
                    "is_floor_broken": z3.Or(is_floor_broken, breaks),
                },
            ),
            Step(
                f"steward starts the drain of host {host}",
                {
                    "had a permit": permit_token[host] > 0,
                    "phase is permitted": z3.Or(phase[host] == PERMITTED, phase[host] == SERVING),
                    "current token": z3.And(
                        token[host] == permit_token[host], phase[host] == PERMITTED
                    ),
                },
                {
                    f"phase_{host}": z3.IntVal(DRAINING),
                    f"permit_token_{host}": z3.IntVal(0),
                    "offset": offset + 1,
                    "is_floor_broken": z3.Or(is_floor_broken, breaks),
                },
            ),
            Step(
                f"host {host} returns",
                {"not serving": z3.Or(phase[host] == DRAINING, phase[host] == FAILED)},
                {
                    f"phase_{host}": z3.IntVal(SERVING),
                    f"token_{host}": offset,
                    "offset": offset + 1,
                },
            ),
            Step(
                f"host {host} fails; unstarted drains are revoked",
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
        **{f"permit_token_{host}": permit_token[host] for host in HOSTS},
        "offset": offset,
        "is_floor_broken": is_floor_broken,
    }
    initial = {name: z3.IntVal(0) for name in variables}
    initial |= {"offset": z3.IntVal(1), "is_floor_broken": z3.BoolVal(False)}
    return Protocol(
        "budget",
        variables,
        initial,
        tuple(steps),
        {"no action of the system breaks a budget": z3.Not(is_floor_broken)},
        ("budget holds without it", "current token"),
    )
