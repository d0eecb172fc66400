"""Periodic update of a data hall's hosts in the fleet state from the platform's host list."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tornado.httpclient import HTTPError

from robinthread._internal.fold.kinds.host_arrived import HostArrived
from robinthread._internal.fold.kinds.host_gone import HostGone
from robinthread._internal.fold.kinds.host_leaving import HostLeaving
from robinthread._internal.fold.kinds.host_recovered import HostRecovered
from robinthread._internal.follow.host_list import ListedHost
from robinthread._internal.models.fleet_state import FleetState
from robinthread._internal.models.host_phase import HostPhase
from robinthread._internal.utils.foreign_input import MalformedInputError

REMOVABLE_PHASES: Final = (HostPhase.FREE, HostPhase.FAILED, HostPhase.OUT, HostPhase.LEAVING)

if TYPE_CHECKING:
    from robinthread._internal.daemon.daemon import Daemon


async def follow_host_list(daemon: Daemon) -> None:
    """Poll the platform's host list and publish changes while this daemon leads its hall.

    The list lags behind, so a host that is missing from it is removed only if it is also
    free, out, failed or leaving.  A host that the list marks as leaving gets no new work.
    """
    while True:
        if daemon.is_hall_lead() and daemon.is_fresh:
            try:
                listed = await daemon.environment.list_hosts()
                await _publish_changes(daemon, listed)
            except (OSError, HTTPError, MalformedInputError):
                daemon.counters.add("host_list_failures")
        await asyncio.sleep(daemon.settings.platform.host_list_interval_s)


async def _publish_changes(daemon: Daemon, listed: tuple[ListedHost, ...]) -> None:
    listed_here = {host.name: host for host in listed if host.hall == daemon.settings.hall}
    known = daemon.state.hosts
    arrived = [
        HostArrived(
            host.name,
            host.hall,
            host.rack,
            host.address,
            host.slots,
            host.connections,
            host.accelerators,
        )
        for name, host in sorted(listed_here.items())
        if name not in known and not host.is_leaving
    ]
    removed = [
        HostGone(host.name)
        for host in known.values()
        if host.hall == daemon.settings.hall
        and host.name not in listed_here
        and host.phase in REMOVABLE_PHASES
    ]
    changed = _make_leaving_records(daemon.state, listed_here)
    await asyncio.gather(*(daemon.publish(body) for body in [*arrived, *removed, *changed]))


def _make_leaving_records(state: FleetState, listed: dict[str, ListedHost]) -> list[object]:
    """Return a record for each host that the list newly marks, or no longer marks, as leaving."""
    known = [(state.hosts[name], entry) for name, entry in listed.items() if name in state.hosts]
    leaving: list[object] = [
        HostLeaving(host.name)
        for host, entry in known
        if entry.is_leaving and host.phase is not HostPhase.LEAVING
    ]
    no_longer_leaving = [
        HostRecovered(host.name, host.token)
        for host, entry in known
        if not entry.is_leaving and host.phase is HostPhase.LEAVING
    ]
    return [*leaving, *no_longer_leaving]
