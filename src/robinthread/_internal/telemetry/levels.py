"""Levels of log lines, by which readers filter them: failures and changes of state.

Routine lines have no level.
"""

from typing import Final

WARNING: Final = "warning"
CHANGE: Final = "change"

# Something failed, or a required bound is violated.
_WARNINGS: Final = (
    "end_forced",
    "host_lapsed",
    "host_lost",
    "input_malformed",
    "job_failed",
    "journal_stalled",
    "lines_lost",
    "machines_unread",
    "membership_lost",
    "owner_missing",
    "pool_open_failed",
    "pool_opening_slow",
    "record_malformed",
    "records_unreadable",
    "release_failed",
    "request_refused",
    "request_unknown",
    "run_failed",
    "settings_rejected",
    "start_withheld",
    "steward_failed",
    "stop_part_undone",
    "store_lost",
    "store_unread",
    "take_failed",
    "task_failed",
    "task_given_up",
    "unready",
    "wave_over_bound",
)
# Changes of ownership, of a process's state and of the configuration in force, and orders for
# machines.
_CHANGES: Final = (
    "config_in_force",
    "fleet_taken",
    "hall_evacuated",
    "hall_evacuating",
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
    "wave_asked_for",
    "wave_shown",
)
LEVELS: Final = dict.fromkeys(_WARNINGS, WARNING) | dict.fromkeys(_CHANGES, CHANGE)
