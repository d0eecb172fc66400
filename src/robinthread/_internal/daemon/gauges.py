"""Gauges of a daemon."""

from robinthread._internal.daemon.daemon import Daemon


def observe_daemon(daemon: Daemon) -> None:
    """Publish a daemon's gauges, the three measures among them."""
    counters, measures = daemon.counters, daemon.measures
    counters.observe("buffer_cost_slot_s", lambda: measures.buffer_slot_s)
    counters.observe("rollout_time_s", lambda: measures.rollout_s)
    counters.observe("moves", lambda: measures.moves)
    counters.observe("log_lag_s", daemon.follower.get_lag_s)
    counters.observe("next_offset", lambda: daemon.state.next_offset)
    counters.observe("claims_held", daemon.claims.count_held)
    counters.observe("requests_running", lambda: daemon.entry.running_count)
