"""Interfaces and state that all components of a node share."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from robinthread._internal.durable.group_writer import GroupWriter
from robinthread._internal.durable.job_index import JobIndex
from robinthread._internal.durable.store import Store
from robinthread._internal.jobs.advice_calls import AdviceCalls
from robinthread._internal.jobs.host_calls import HostCalls
from robinthread._internal.node.config_holder import ConfigHolder
from robinthread._internal.node.evacuations import EvacuationHolder
from robinthread._internal.node.host_directory import HostDirectory
from robinthread._internal.node.node_settings import NodeSettings
from robinthread._internal.node.settings_holder import SettingsHolder
from robinthread._internal.settings.policy_settings import PolicySettings
from robinthread._internal.telemetry.event_log import EventLog


@dataclass(frozen=True)
class NodeContext:
    """External interfaces of a node and the data that it has read from them.

    ``read_inbox_once`` reads all jobs that were accepted before the call, or raises
    ``StoreError``; ``read_inbox_to_end`` does the same, but retries until it succeeds.
    ``read_hosts_to_end`` and ``read_operators_to_end`` read the host list and the operators'
    records in the same way as ``read_inbox_to_end``, and ``poll_hosts_faster`` shortens the polling
    interval of the host list for a while.
    ``get_owners_unconfirmed_s`` returns the seconds since the store last confirmed the table of
    pool owners, ``get_hosts_unconfirmed_s`` the same for the host list, and
    ``get_operators_unconfirmed_s`` for the operators' records.  ``is_store_silent`` returns whether
    the node does not reach the store.  ``may_split_progress`` returns whether all nodes read the
    progress of a job in parts.  ``get_wall_ms`` returns Unix time in milliseconds.
    """

    settings_holder: SettingsHolder
    policy: PolicySettings
    store: Store
    inbox_writer: GroupWriter
    hosts: HostCalls
    advice: AdviceCalls
    events: EventLog
    job_index: JobIndex
    host_directory: HostDirectory
    config_holder: ConfigHolder
    evacuations: EvacuationHolder
    poll_hosts_faster: Callable[[], None]
    read_hosts_to_end: Callable[[], Awaitable[None]]
    read_operators_to_end: Callable[[], Awaitable[None]]
    read_inbox_once: Callable[[], Awaitable[None]]
    get_wall_ms: Callable[[], int]
    get_owners_unconfirmed_s: Callable[[], float]
    get_hosts_unconfirmed_s: Callable[[], float]
    get_operators_unconfirmed_s: Callable[[], float]
    is_store_silent: Callable[[], bool]
    may_split_progress: Callable[[], bool]
    read_inbox_to_end: Callable[[], Awaitable[None]]

    @property
    def settings(self) -> NodeSettings:
        """Return the settings that are in force now."""
        return self.settings_holder.settings
