"""Construction of a daemon's services with the functions that they need of each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

from robinthread._internal.claims.claim_service import ClaimContext, ClaimService
from robinthread._internal.dispatch.dispatch_service import DispatchService
from robinthread._internal.dispatch.dispatcher import DispatchContext
from robinthread._internal.entry.entry_service import EntryContext, EntryService
from robinthread._internal.peers.presence import Presence, PresenceContext
from robinthread._internal.waves.steward import Steward, StewardContext

if TYPE_CHECKING:
    from robinthread._internal.daemon.daemon import Daemon


def make_presence(daemon: Daemon) -> Presence:
    """Return the service that monitors which daemons and halls are reachable."""
    context = PresenceContext(
        daemon.settings.name,
        daemon.settings.hall,
        lambda: daemon.incarnation,
        lambda: daemon.state,
        lambda: daemon.is_fresh,
        daemon.publish_ignoring_result,
        daemon.get_digest,
        daemon.check_digest,
    )
    return Presence(context, daemon.settings.peers, daemon.router)


def make_claims(daemon: Daemon) -> ClaimService:
    """Return the service that grants claims for the partitions that this daemon owns."""
    context = ClaimContext(
        daemon.settings.name,
        daemon.settings.hall,
        lambda: daemon.incarnation,
        lambda: daemon.state,
        daemon.presence.is_reachable,
        daemon.make_id,
        daemon.environment.wall_clock,
    )
    return ClaimService(
        context, daemon.settings.claims, daemon.environment.log, daemon.router, daemon.counters
    )


def make_dispatch(daemon: Daemon) -> DispatchService:
    """Return the service that runs requests on hosts."""
    context = DispatchContext(
        daemon.settings.hall,
        lambda: daemon.state,
        daemon.environment.upstream,
        daemon.router,
        daemon.environment.wall_clock,
        daemon.make_id,
        daemon.counters,
        daemon.events,
        daemon.publish_ignoring_result,
    )
    return DispatchService(
        daemon.settings.name,
        context,
        daemon.settings.dispatch,
        daemon.presence.is_reachable,
    )


def make_entry(daemon: Daemon) -> EntryService:
    """Return the service that accepts requests from callers."""
    context = EntryContext(
        daemon.settings.name,
        daemon.settings.hall,
        lambda: daemon.incarnation,
        lambda: daemon.state,
        lambda: daemon.follower.is_ready and not daemon.is_halted,
        daemon.presence.is_reachable,
        daemon.environment.upstream,
        daemon.router,
        daemon.environment.wall_clock,
        daemon.environment.random,
        daemon.counters,
        daemon.events,
    )
    return EntryService(
        context, daemon.settings.entry, daemon.settings.claims, daemon.claims, daemon.dispatch
    )


def make_steward(daemon: Daemon) -> Steward:
    """Return the steward, which carries out waves on the hosts that this daemon dispatches."""
    context = StewardContext(
        daemon.settings.hall,
        lambda: daemon.state,
        lambda: daemon.is_fresh and not daemon.is_halted,
        lambda: daemon.dispatch.dispatchers,
        daemon.is_hall_lead,
        daemon.publish,
        daemon.router.send_notice,
        daemon.environment.upstream,
        daemon.counters,
        daemon.events,
        daemon.measures,
    )
    return Steward(context, daemon.settings.waves)
