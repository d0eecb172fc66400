"""Detects hosts that are likely to be unreachable before that is certain."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from robinthread._internal.jobs.host import Host, HostContact
from robinthread._internal.jobs.pool_jobs import PoolJobs

# A host responds to an order within about 10 ms, and a host five times slower within 50 ms.
UNRESPONSIVE_AFTER_S: Final = 0.15
# A cold host may take longer, but one that exceeds the timeout of an order (0.4 s) is of no use.
COLD_UNRESPONSIVE_AFTER_S: Final = 0.5
# A host that is known to answer slowly is unresponsive after this many times its usual time.
USUAL_FACTOR: Final = 1.5
# Number of unresponsive hosts in a data hall from which on the whole hall is unresponsive.
HALL_UNRESPONSIVE_MIN: Final = 2


def list_unresponsive(pool: PoolJobs, now_s: float) -> frozenset[str]:
    """Return the ids of the hosts that must get no work until they respond again.

    A host is unresponsive if it leaves an order unanswered for ``UNRESPONSIVE_AFTER_S``, or for
    ``COLD_UNRESPONSIVE_AFTER_S`` if it is cold; for up to that long if it usually answers slowly.
    If several hosts of a data hall are, and no host of the hall has reported since, the hall is
    taken to be cut off and all its hosts are unresponsive.  Hosts that refuse connections don't
    count towards their hall: the refusal itself arrived from there.
    """
    if not pool.policy.doubts_silent_hosts:
        return frozenset()
    halls: dict[str, list[Host]] = defaultdict(list)
    for host in pool.hosts.values():
        halls[host.record.hall].append(host)
    return frozenset(
        host.id for hosts in halls.values() for host in _list_unresponsive_in_hall(hosts, now_s)
    )


def _list_unresponsive_in_hall(hosts: list[Host], now_s: float) -> Iterable[Host]:
    """Return the unresponsive hosts of one hall."""
    unresponsive = [host for host in hosts if _is_unresponsive(host, now_s)]
    silent = [host for host in unresponsive if not host.is_refusing]
    if len(silent) < HALL_UNRESPONSIVE_MIN:
        return unresponsive
    since_s = min(host.unanswered_since_s or now_s for host in silent)
    has_reported = any(host.reported_at_s > since_s for host in hosts)
    return unresponsive if has_reported else hosts


def _is_unresponsive(host: Host, now_s: float) -> bool:
    if host.contact is HostContact.NOT_CONTACTED or host.unanswered_since_s is None:
        return False
    is_cold = host.cold.is_cold(now_s)
    usual_s = USUAL_FACTOR * host.answer_times.get_mean_s(now_s)
    limit_s = max(UNRESPONSIVE_AFTER_S, min(usual_s, COLD_UNRESPONSIVE_AFTER_S))
    limit_s = COLD_UNRESPONSIVE_AFTER_S if is_cold else limit_s
    return now_s - host.unanswered_since_s > limit_s
