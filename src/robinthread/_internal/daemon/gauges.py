"""Metrics gauges of a daemon."""

from robinthread._internal.daemon.daemon import Daemon


def observe_daemon(daemon: Daemon) -> None:
    """Register the gauges of a daemon, including its three measures of waves."""
    counters, measures = daemon.counters, daemon.measures
    counters.register_gauge("buffer_cost_slot_s", lambda: measures.buffer_slot_s)
    counters.register_gauge("rollout_time_s", lambda: measures.rollout_s)
    counters.register_gauge("moves", lambda: measures.moves)
    counters.register_gauge("log_lag_s", daemon.follower.get_lag_s)
    counters.register_gauge("next_offset", lambda: daemon.state.next_offset)
    counters.register_gauge("claims_held", daemon.claims.count_held)
    counters.register_gauge("requests_running", lambda: daemon.entry.running_count)
