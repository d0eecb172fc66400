"""Allotment of hosts to pools that need more than there are, by the work that they have.

A host is worth the work that it completes on time.  A host that changes pools serves only after
its runs have ended and it has moved, so it changes only if it then completes enough more work.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Final

# Value of late work relative to work on time.
LATE_VALUE: Final = 0.07
# A host changes pools only if that completes at least this much more work on time, in seconds of
# a host, so that random variations of the forecast move no hosts.
GAIN_MIN_S: Final = 1.0
# Value of a host that a pool needs in any case, in seconds of a host: more than that of any work.
MINIMUM_VALUE_S: Final = 100.0
# Number of batches into which all hosts are divided.  The hosts of a batch change pools together,
# which bounds the time of a decision.
BATCH_COUNT: Final = 20
# Span for which the current rate of arrivals is assumed to go on: about the length of a burst.
HORIZON_S: Final = 4.0
# Mean time until a host that moves to a pool serves.
ARRIVING_IN_S: Final = 0.9
# Share of the hosts' time that counts.  The rest is lost between the steps of jobs, and because
# tasks are not stopped for more urgent ones.
USED_SHARE: Final = 0.8
# Time from the decision to start a task until it runs.
START_MARGIN_S: Final = 0.2
# Late work counts as far as it can be completed within this time.
LATE_WITHIN_S: Final = 4.0


@dataclass(frozen=True, slots=True)
class StartWork:
    """Work that must start within ``start_by_s`` to be on time; a task of it takes ``task_s``.

    ``host_s`` is the work in seconds of a whole host, ``worth`` its value relative to that.
    """

    start_by_s: float
    host_s: float
    task_s: float
    worth: float = 1.0


@dataclass(frozen=True, slots=True)
class PoolWork:
    """A pool's work and hosts.

    ``on_time`` is the work that waits and can be on time, with expected arrivals, sorted by
    ``start_by_s``.  ``late_host_s`` is the other work that waits.  ``empty_in_s`` has for
    each host that the pool can give up the time until its runs have ended, in ascending order.
    ``fixed_count`` more hosts are not given up, and lasting tasks occupy ``lasting_count`` of
    all hosts.  ``arriving_count`` hosts are moving to the pool.  The pool needs
    ``minimum_count`` hosts in any case.
    """

    name: str
    on_time: tuple[StartWork, ...] = ()
    late_host_s: float = 0.0
    empty_in_s: tuple[float, ...] = ()
    fixed_count: int = 0
    arriving_count: int = 0
    lasting_count: float = 0.0
    minimum_count: int = 0

    @property
    def host_count(self) -> int:
        """Return how many hosts the pool has or is about to have."""
        return len(self.empty_in_s) + self.fixed_count + self.arriving_count


@dataclass(frozen=True, slots=True)
class _NewHosts:
    """Hosts that serve a pool from a time on."""

    count: int
    serve_in_s: float


@dataclass(frozen=True, slots=True)
class _Holding:
    """The hosts of a pool during the decision.

    The ``given_count`` hosts that become empty first are given up.
    """

    work: PoolWork
    given_count: int = 0
    new: tuple[_NewHosts, ...] = ()

    @property
    def count(self) -> int:
        """Return how many hosts the pool has with these changes."""
        new_count = sum(new.count for new in self.new)
        return self.work.host_count - self.given_count + new_count

    @property
    def releasable_count(self) -> int:
        """Return how many more hosts the pool can give up; one that gets hosts gives up none."""
        if self.new:
            return 0
        beyond_minimum = self.count - self.work.minimum_count
        return max(0, min(len(self.work.empty_in_s) - self.given_count, beyond_minimum))


def allot_hosts(works: Sequence[PoolWork], free_count: int, lead_s: float) -> dict[str, int]:
    """Return how many hosts each pool should have.

    ``free_count`` hosts are in no pool.  A host serves its new pool ``lead_s`` after it is free.
    Hosts change pools in small batches, free ones first, where that completes the most
    additional work.  Pools below their minimum come before all others.
    """
    total_count = free_count + sum(work.host_count for work in works)
    batch_size = max(1, total_count // BATCH_COUNT)
    holdings = {work.name: _Holding(work) for work in works}
    values = {name: _get_value(holding) for name, holding in holdings.items()}
    while True:
        if free_count:
            count = min(batch_size, free_count)
            changed = _find_best_use(holdings, values, _NewHosts(count, lead_s))
            free_count -= count
        else:
            changed = _find_best_change(holdings, values, batch_size, lead_s)
        if not changed:
            return {name: holding.count for name, holding in holdings.items()}
        for holding in changed:
            holdings[holding.work.name] = holding
            values[holding.work.name] = _get_value(holding)


def _find_best_use(
    holdings: Mapping[str, _Holding], values: Mapping[str, float], new: _NewHosts
) -> tuple[_Holding, ...]:
    """Return the pool that gains the most by free hosts, with them; empty if none gains enough."""
    grown = [_add(holding, new) for holding in holdings.values()]
    gains_s = [_get_value(holding) - values[holding.work.name] for holding in grown]
    best = max(zip(gains_s, grown, strict=True), key=lambda pair: pair[0], default=None)
    return (best[1],) if best and best[0] > GAIN_MIN_S * new.count else ()


def _find_best_change(
    holdings: Mapping[str, _Holding], values: Mapping[str, float], batch_size: int, lead_s: float
) -> tuple[_Holding, ...]:
    """Return the most valuable change of hosts from one pool to another; empty if none."""
    best_gain_s = 0.0
    best: tuple[_Holding, ...] = ()
    for source in holdings.values():
        count = min(batch_size, source.releasable_count)
        if not count:
            continue
        shrunk = replace(source, given_count=source.given_count + count)
        loss_s = values[source.work.name] - _get_value(shrunk)
        empty_s = source.work.empty_in_s[shrunk.given_count - 1]
        for target in holdings.values():
            if target is source or target.given_count:
                continue
            grown = _add(target, _NewHosts(count, empty_s + lead_s))
            gain_s = _get_value(grown) - values[target.work.name] - loss_s - GAIN_MIN_S * count
            if gain_s > best_gain_s:
                best_gain_s, best = gain_s, (shrunk, grown)
    return best


def _add(holding: _Holding, new: _NewHosts) -> _Holding:
    return replace(holding, new=(*holding.new, new))


def _get_value(holding: _Holding) -> float:
    """Return the work that a pool starts on time in seconds of a host; late work counts less.

    Each host up to the pool's minimum counts more than any work.
    """
    on_time = 0.0
    value = MINIMUM_VALUE_S * min(holding.count, holding.work.minimum_count)
    for work in holding.work.on_time:
        startable = _get_startable(holding, work.start_by_s, work.task_s)
        started = min(work.host_s, max(0.0, startable - on_time))
        on_time += started
        value += work.worth * started
    late_startable = _get_startable(holding, LATE_WITHIN_S, 0.0) - on_time
    return value + LATE_VALUE * min(holding.work.late_host_s, max(0.0, late_startable))


def _get_startable(holding: _Holding, within_s: float, task_s: float) -> float:
    """Return how much work a pool can start within a time, in seconds of a host.

    The tasks that run now end evenly over time, so each host starts as much work as time passes.
    A host that is empty from a time on starts half a task more on average: if it starts tasks one
    after the other, the last one extends beyond the time.
    """
    pool = holding.work
    within_s -= START_MARGIN_S
    staying_count = len(pool.empty_in_s) + pool.fixed_count - holding.given_count
    staying = max(0.0, staying_count - pool.lasting_count) * max(0.0, within_s)
    arriving = pool.arriving_count * _get_startable_after(ARRIVING_IN_S, within_s, task_s)
    new = sum(
        hosts.count * _get_startable_after(hosts.serve_in_s, within_s, task_s)
        for hosts in holding.new
    )
    return USED_SHARE * (staying + arriving + new)


def _get_startable_after(from_s: float, within_s: float, task_s: float) -> float:
    return within_s - from_s + task_s / 2 if within_s >= from_s else 0.0
