"""Fleet state, which all daemons derive identically from the log."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import cached_property
from itertools import groupby
from operator import attrgetter

from robinthread._internal.models.config_entry import ConfigEntry
from robinthread._internal.models.daemon_member import DaemonMember
from robinthread._internal.models.host import Host
from robinthread._internal.models.pool import Pool
from robinthread._internal.models.quota import Quota
from robinthread._internal.models.wave import Wave


@dataclass(frozen=True)
class FleetState:
    """Fleet state after all log records before ``next_offset``."""

    next_offset: int = 0
    pools: dict[str, Pool] = field(default_factory=dict)
    hosts: dict[str, Host] = field(default_factory=dict)
    waves: dict[str, Wave] = field(default_factory=dict)
    quotas: dict[str, Quota] = field(default_factory=dict)
    config: dict[str, ConfigEntry] = field(default_factory=dict)
    daemons: dict[str, DaemonMember] = field(default_factory=dict)
    cut_halls: frozenset[str] = frozenset()
    hall_epochs: dict[str, int] = field(default_factory=dict)

    @cached_property
    def _hosts_by_pool(self) -> dict[str, tuple[Host, ...]]:
        by_pool = sorted(self.hosts.values(), key=attrgetter("pool", "name"))
        return {pool: tuple(hosts) for pool, hosts in groupby(by_pool, attrgetter("pool"))}

    def iter_pool_hosts(self, pool: str) -> Iterator[Host]:
        """Iterate over the hosts of ``pool`` in order of name."""
        return iter(self._hosts_by_pool.get(pool, ()))

    def get_token(self, host: Host) -> int:
        """Return the fencing token of operations on ``host``.

        It increases with the host's own records and with every membership change among the
        daemons of its data hall, because each of these may change the host's dispatcher.
        """
        return max(host.token, self.hall_epochs.get(host.hall, 0))

    def iter_hall_daemons(self, hall: str) -> Iterator[DaemonMember]:
        """Iterate over the live daemons of ``hall`` in order of name."""
        return (member for _, member in sorted(self.daemons.items()) if member.hall == hall)
