"""Faults in addition to a loss of power of all nodes; see ``back_at_size``.

Times that are passed to faults are seconds since the machines were back.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from robinthread._internal.standins.job_host_standin import JobHostStandin
from robinthread._internal.standins.store_standin import LATENCY_S
from tests.lib.back_site import Site, Trouble, start_node
from tests.lib.job_platforms import get_owner

# Responses take 30 to 50 times as long as usual.
SLOW_STORE_S = 40 * LATENCY_S
SLOW_SPREAD = 0.25
# A share of the appends is executed without a response, up to a second late.
LOST_SHARE = 0.3
LATE_APPEND_S = (0.0, 1.0)
# Faults that are present when power is lost end this long after the machines are back.
ENDS_S = 6.0
# Start of the faults that come once the platform serves again; other faults are over by then.
LATER_S = 5.0
HOST_SHARE = 0.15
# Owners grant leases of 4 s and renew each about once a second.  The leases of hosts that are cut
# off this long before power is lost expire at about that time.
CUT_BEFORE_S = (3.0, 4.5)
LAPSES_IN_S = 4.0
# New owners have opened the pools by then, while the hosts are still cut off.
CUT_LASTS_S = 2.5
# Owners have detected by then that a host has ended, and have not started its tasks elsewhere.
NOTICED_IN_S = 0.05
# Downtime of owners that are killed soon after the machines are back.
EARLY_BACK_S = 1.0


async def wait_for(site: Site, at_s: float) -> None:
    """Wait until ``at_s`` seconds after the machines are back, or before if negative."""
    await asyncio.sleep(max(0.0, site.back_at_s + at_s - asyncio.get_running_loop().time()))


def record_trouble(site: Site, began_s: float, ended_s: float) -> None:
    """Record the time span of a fault."""
    site.troubled.append((site.back_at_s + began_s, site.back_at_s + ended_s))


def make_slow_store(from_s: float, until_s: float) -> Trouble:
    """Make the store slow for a while."""

    async def work(site: Site) -> None:
        faults = site.platform.store.faults
        await wait_for(site, from_s)
        faults.latency_s, faults.latency_spread = SLOW_STORE_S, SLOW_SPREAD
        await wait_for(site, until_s)
        faults.latency_s, faults.latency_spread = LATENCY_S, 0.0
        record_trouble(site, from_s, until_s)

    return work


def make_refusals(from_s: float, until_s: float) -> Trouble:
    """Make the store refuse a third of the nodes, first those that owned pools."""

    async def work(site: Site) -> None:
        await wait_for(site, from_s)
        names = list_third(site)
        site.platform.store.faults.refused |= names
        await wait_for(site, until_s)
        site.platform.store.faults.refused -= names
        record_trouble(site, from_s, until_s)

    return work


def make_lost_answers(from_s: float, until_s: float) -> Trouble:
    """Make the store lose responses and execute some requests late."""

    async def work(site: Site) -> None:
        faults = site.platform.store.faults
        await wait_for(site, from_s)
        faults.lost_share, faults.late_s = LOST_SHARE, LATE_APPEND_S
        await wait_for(site, until_s)
        faults.lost_share = 0.0
        record_trouble(site, from_s, until_s)

    return work


def make_silence(*moments_s: float) -> Trouble:
    """Make all open connections go silent at the given times."""

    async def work(site: Site) -> None:
        for at_s in moments_s:
            await wait_for(site, at_s)
            site.platform.silence_connections()
            record_trouble(site, at_s, at_s)

    return work


async def keep_third_away(site: Site) -> None:
    """Keep one node in three from restarting, first those that owned pools."""
    await wait_for(site, -site.size.away_s)
    # Power is lost at this moment, so the owners are those from just before.
    site.absent |= list_third(site)


def make_earlier_losses(before_s: float) -> Trouble:
    """Kill the pools' owners permanently, ``before_s`` before all others lose power."""

    async def work(site: Site) -> None:
        at_s = -site.size.away_s - before_s
        await wait_for(site, at_s)
        owners = sorted(list_owners(site))
        for name in owners:
            site.platform.kill_node(name)
        site.absent |= set(owners)
        record_trouble(site, at_s, at_s)

    return work


async def lose_hosts_while_away(site: Site) -> None:
    """Crash hosts with lasting tasks permanently while no node runs."""
    await wait_for(site, -site.size.away_s / 2)
    for host in site.pick_hosts(HOST_SHARE):
        site.platform.crash_host(host.record.id)


async def lapse_hosts_while_away(site: Site) -> None:
    """Cut hosts off one after the other, so that their leases expire around the loss of power."""
    first_s, last_s = (-site.size.away_s - each for each in reversed(CUT_BEFORE_S))
    await wait_for(site, first_s)
    hosts = site.pick_hosts(HOST_SHARE)
    for number, host in enumerate(hosts):
        await wait_for(site, first_s + (last_s - first_s) * number / len(hosts))
        _cut(site, host)
    await wait_for(site, 0.0)
    for host in hosts:
        _heal(site, host)
    record_trouble(site, first_s, 0.0)


def make_lapses_at_change(back_after_s: float | None) -> Trouble:
    """Cut hosts off for a while, so that their leases expire while all pools change owners."""

    async def work(site: Site) -> None:
        await wait_for(site, LATER_S - LAPSES_IN_S)
        hosts = site.pick_hosts(HOST_SHARE)
        for host in hosts:
            _cut(site, host)
        await wait_for(site, LATER_S)
        await replace_owners(site, back_after_s)
        ends_s = LATER_S + max(CUT_LASTS_S, back_after_s or 0.0)
        await wait_for(site, ends_s)
        for host in hosts:
            _heal(site, host)
        # The time in which hosts are cut off is not calm: their tasks must run again only after it.
        record_trouble(site, LATER_S - LAPSES_IN_S, ends_s)

    return work


def make_replaced_owners(back_after_s: float | None) -> Trouble:
    """Crash hosts, and kill the pools' owners before they can start the tasks elsewhere."""

    async def work(site: Site) -> None:
        await wait_for(site, LATER_S)
        for host in site.pick_hosts(HOST_SHARE):
            site.platform.crash_host(host.record.id)
        await asyncio.sleep(NOTICED_IN_S)
        await replace_owners(site, back_after_s)
        record_trouble(site, LATER_S, LATER_S + NOTICED_IN_S + (back_after_s or 0.0))

    return work


def make_early_kills(at_s: float) -> Trouble:
    """Kill the pools' owners soon after the machines are back, and restart them."""

    async def work(site: Site) -> None:
        await wait_for(site, at_s)
        await replace_owners(site, EARLY_BACK_S)
        record_trouble(site, at_s, at_s + EARLY_BACK_S)

    return work


async def replace_owners(site: Site, back_after_s: float | None) -> None:
    """Kill the nodes that own pools; restart them after ``back_after_s`` unless it is None."""
    owners = sorted(list_owners(site))
    for name in owners:
        site.platform.kill_node(name)
    if back_after_s is not None:
        await asyncio.sleep(back_after_s)
        for name in owners:
            start_node(site, name)


def list_owners(site: Site) -> set[str]:
    """List the nodes that own pools now."""
    return {name for pool in site.pools if (name := get_owner(site.platform, pool)) is not None}


def list_third(site: Site) -> set[str]:
    """List a third of the nodes: first the owners of pools, or the previous ones, then others."""
    owners = set(site.previous_owners.values()) or list_owners(site)
    ranked = sorted(site.names, key=lambda name: (name not in owners, name))
    return set(ranked[: len(site.names) // 3])


def _cut(site: Site, host: JobHostStandin) -> None:
    site.platform.hosts.cut_routes |= {(name, host.record.address) for name in site.names}


def _heal(site: Site, host: JobHostStandin) -> None:
    ways = {(name, host.record.address) for name in site.names}
    site.platform.hosts.cut_routes.difference_update(ways)


def draw_troubles(seed: int) -> dict[str, Trouble]:
    """Draw two faults and their times from a seed."""
    drawn = random.Random(seed)
    names = drawn.sample(sorted(KINDS), 2)
    return {name: KINDS[name](drawn) for name in names}


def _draw_part(make: Callable[[float, float], Trouble], drawn: random.Random) -> Trouble:
    return make(drawn.uniform(-2.0, 0.5), drawn.uniform(3.0, LATER_S + 2.0))


KINDS: Final[dict[str, Callable[[random.Random], Trouble]]] = {
    "store slow": lambda drawn: _draw_part(make_slow_store, drawn),
    "store refuses": lambda drawn: _draw_part(make_refusals, drawn),
    "store loses answers": lambda drawn: _draw_part(make_lost_answers, drawn),
    "silence": lambda drawn: make_silence(*sorted(drawn.uniform(0.0, 6.0) for _ in range(2))),
    "third stays away": lambda drawn: keep_third_away,
    "hosts lost": lambda drawn: lose_hosts_while_away,
    "hosts lapse": lambda drawn: lapse_hosts_while_away,
    "lapse at change": lambda drawn: make_lapses_at_change(drawn.uniform(0.5, 2.5)),
    "owners replaced": lambda drawn: make_replaced_owners(drawn.uniform(0.5, 2.5)),
    "owners lost before": lambda drawn: make_earlier_losses(drawn.uniform(2.0, 14.0)),
    "owners killed early": lambda drawn: make_early_kills(drawn.uniform(0.5, 2.5)),
}
