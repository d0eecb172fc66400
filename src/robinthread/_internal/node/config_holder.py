"""The latest fleet configuration and maintenance waves that this process has read."""

import asyncio
from collections.abc import Sequence

import msgspec

from robinthread._internal.durable.contained_calls import apply_each
from robinthread._internal.durable.malformed_records import MalformedRecords
from robinthread._internal.durable.store import KeyedRecord
from robinthread._internal.models.fleet_config import FleetConfig
from robinthread._internal.models.upkeep_wave import UpkeepWave
from robinthread._internal.node.environment import PlatformRecords
from robinthread._internal.telemetry.event_log import EventLog
from robinthread._internal.utils.foreign_input import MalformedInputError


class ConfigHolder:
    """Holds the configuration and the maintenance waves that the operators published.

    The version never decreases, whatever the order in which records arrive.  ``wave_seen_at_s``
    is when this node first read each wave, by the event loop's clock.  Every node follows the
    waves, so that a new steward knows how much of their duration has passed.
    ``limit_lowered_in`` is, by workspace, the configuration version that last lowered its limit
    while this process ran: more of its tasks may be running than the new limit allows.
    """

    def __init__(self, records: PlatformRecords, events: EventLog) -> None:
        self._records = records
        self._events = events
        self._malformed = MalformedRecords(events, "operators")
        self.config: FleetConfig | None = None
        self.waves: dict[int, UpkeepWave] = {}
        self.wave_seen_at_s: dict[int, float] = {}
        self.limit_lowered_in: dict[str, int] = {}
        self.changed = asyncio.Event()

    def get_share(self, workspace: str) -> float:
        """Return the share of a workspace in jobs per second, 0 if it has none."""
        found = self.config.workspaces.get(workspace) if self.config is not None else None
        return 0.0 if found is None else found.share_jobs_per_s

    def apply(self, records: Sequence[KeyedRecord], is_snapshot: bool) -> None:
        """Apply records of the operators.  A record that expired changes nothing."""
        apply_each(records, self._apply_one, self._events)
        self.changed.set()

    def _apply_one(self, record: KeyedRecord) -> None:
        key, value = record.key, record.value
        if value is None:
            return
        try:
            if key == self._records.config_key:
                self._apply_config(self._records.parse_config(value))
            elif key.startswith(self._records.wave_prefix):
                wave = self._records.parse_wave(value)
                if key != f"{self._records.wave_prefix}{wave.number}":
                    raise MalformedInputError(f"the key is not that of wave {wave.number}")
                self._apply_wave(wave)
        except msgspec.MsgspecError as error:
            self._malformed.tell(record, error)

    def _apply_wave(self, wave: UpkeepWave) -> None:
        if self.waves.get(wave.number) != wave:
            self._events.write(
                "wave_asked_for",
                wave=wave.number,
                machine_count=len(wave.machines),
                at_once_max=wave.at_once_max,
                duration_s=wave.duration_s,
                is_changed=wave.number in self.waves,
            )
        self.waves[wave.number] = wave
        self.wave_seen_at_s.setdefault(wave.number, asyncio.get_running_loop().time())

    def _apply_config(self, config: FleetConfig) -> None:
        if self.config is None or config.version > self.config.version:
            if self.config is not None:
                self._log_key_changes(self.config, config)
                self._record_limit_changes(self.config, config)
            self.config = config
            self._events.write(
                "config_in_force",
                version=config.version,
                queue_count=len(config.queues),
                pool_count=len(config.pools),
                workspace_count=len(config.workspaces),
            )

    def _record_limit_changes(self, before: FleetConfig, config: FleetConfig) -> None:
        for name, workspace in config.workspaces.items():
            workspace_before = before.workspaces.get(name)
            old = workspace_before.limit.astuple() if workspace_before is not None else (0, 0, 0)
            new = workspace.limit.astuple()
            if old == new:
                continue
            pairs = zip(old, new, strict=True)
            has_fallen = any(
                new_max and (not old_max or new_max < old_max) for old_max, new_max in pairs
            )
            if has_fallen:
                self.limit_lowered_in[name] = config.version
            self._events.write(
                "workspace_limit_changed",
                version=config.version,
                workspace=name,
                limit=new,
                limit_before=old,
                has_fallen=has_fallen,
            )

    def _log_key_changes(self, before: FleetConfig, config: FleetConfig) -> None:
        """Log which workspaces have gained or lost API keys, without the keys."""
        for name in sorted(before.workspaces.keys() | config.workspaces.keys()):
            had, has = (
                one.workspaces[name].key_digests if name in one.workspaces else frozenset()
                for one in (before, config)
            )
            if had != has:
                self._events.write(
                    "workspace_keys_changed",
                    version=config.version,
                    workspace=name,
                    withdrawn_count=len(had - has),
                    added_count=len(has - had),
                    key_count=len(has),
                )
