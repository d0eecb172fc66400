"""Levels of log lines, by which readers filter them: failures and changes of state.

Routine lines have no level.
"""

from typing import Final

WARNING: Final = "warning"
CHANGE: Final = "change"

# Something failed, or a required bound is violated.
_WARNINGS: Final = (
    "call_failed",
    "connection_refused",
    "end_forced",
    "host_call_failed",
    "host_lapsed",
    "host_left_out",
    "host_lost",
    "input_malformed",
    "job_failed",
    "job_left_out",
    "journal_stalled",
    "lines_lost",
    "machines_unread",
    "membership_lost",
    "owner_missing",
    "pool_open_failed",
    "pool_opening_slow",
    "pool_report_failed",
    "pool_held",
    "pools_given_up",
    "record_failed",
    "record_malformed",
    "records_unreadable",
    "release_failed",
    "request_refused",
    "request_unknown",
    "run_failed",
    "settings_rejected",
    "start_withheld",
    "steward_failed",
    "steward_step_failed",
    "stop_part_undone",
    "store_lost",
    "store_unread",
    "subscriber_failed",
    "take_failed",
    "task_failed",
    "task_given_up",
    "unready",
    "view_stale",
    "wave_over_bound",
)
# Changes of ownership, of a process's state and of the configuration in force, and orders for
# machines.
_CHANGES: Final = (
    "config_in_force",
    "fleet_taken",
    "hall_evacuated",
    "hall_evacuating",
    "host_draining",
    "machine_ordered",
    "pool_closed",
    "pool_evacuating",
    "pool_fenced",
    "pool_opened",
    "pool_relieved",
    "pool_taken",
    "pools_passed_on",
    "ready",
    "settings_reloaded",
    "started",
    "steward_began",
    "steward_ended",
    "steward_fenced",
    "stopped",
    "stopping",
    "suspect_cleared",
    "suspect_started",
    "task_suspected",
    "upkeep_answered",
    "upkeep_begins",
    "upkeep_over",
    "view_fresh",
    "wave_asked_for",
    "wave_shown",
)
LEVELS: Final = dict.fromkeys(_WARNINGS, WARNING) | dict.fromkeys(_CHANGES, CHANGE)
